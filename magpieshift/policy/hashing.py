"""The hash function with which all routers place an object on the same endpoints."""

from __future__ import annotations

MASK = (1 << 64) - 1
"""The largest 64-bit number."""


def mix(value: int) -> int:
    """A 64-bit hash of a number, the same in every process (the step and finalizer of SplitMix64, Steele et
    al. 2014)."""
    value = (value + 0x9E3779B97F4A7C15) & MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK
    return value ^ (value >> 31)
