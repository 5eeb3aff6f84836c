"""The policy of a request router in front of caches that fill from parent caches and an origin."""
