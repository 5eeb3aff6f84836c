"""What routers do together where endpoints or routers are overloaded. State machines; no I/O.

Off unless the settings ask for it. A router that receives no reports does what it would do alone.
"""
