"""Experiments that measure or check routers, and the reports of their results."""
