"""Discovery: the change log, which tells of endpoints and of purges, read over HTTP."""
