"""The operators' door: one line in, one line out. Imported only where a ``console`` address is set."""
