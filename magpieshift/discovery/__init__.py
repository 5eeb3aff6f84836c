"""Discovery: reads the change log, which announces endpoint lists and purges, over HTTP."""
