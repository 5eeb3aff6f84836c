"""Cooperation of routers when endpoints or routers are overloaded. State machines; no I/O.

Disabled unless the settings enable it. A router that receives no reports behaves as if it were disabled.
"""
