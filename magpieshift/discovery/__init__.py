"""The feed: the change log with the list of stores and the purges."""
