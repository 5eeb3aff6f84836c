"""The laboratory: stand-ins for all that a router talks to, on loopback, and experiments that cause
failures."""
