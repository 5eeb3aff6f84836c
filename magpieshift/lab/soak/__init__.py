"""Soak: short runs of real routers, drawn from a seed, with many signals and a check of each request."""
