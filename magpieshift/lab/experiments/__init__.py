"""Experiments that measure, and the reports of them."""
