"""Stand-ins of what a router speaks to: stores, origin, change log, clients."""
