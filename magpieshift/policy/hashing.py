"""The hash by which all routers give an object the same home."""

from __future__ import annotations

MASK = (1 << 64) - 1


def mix(value: int) -> int:
    """A fixed 64-bit scramble, the same in every process."""
    value = (value + 0x9E3779B97F4A7C15) & MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK
    return value ^ (value >> 31)
