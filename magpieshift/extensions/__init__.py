"""The optional parts of a router. ``python -m magpieshift`` as the platform runs it imports none of them."""
