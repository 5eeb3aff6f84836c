"""Connections to upstream endpoints: caches, parent caches and the origin."""
