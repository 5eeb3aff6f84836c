"""The decisions of a request router for caches that fill from parent caches and an origin."""
