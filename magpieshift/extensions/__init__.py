"""The optional parts of a router; the platform's run imports none of them."""
