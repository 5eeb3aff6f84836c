"""The base class of all errors that this package raises.

Each subpackage derives its own base class from it and names each error after the failure. An error about
input states what was found and what was expected.
"""

from __future__ import annotations


class MagpieshiftError(Exception):
    """An operation has failed; the text is a single line for the operator."""
