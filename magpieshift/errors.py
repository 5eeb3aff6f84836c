"""The base of every error that the product raises.

Each package derives one base of its own from it, and names each error for what failed. An error about input
says what was found and what was expected.
"""

from __future__ import annotations


class MagpieshiftError(Exception):
    """Something the product was asked to do has failed; the text is one plain line."""
