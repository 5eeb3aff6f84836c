"""Membership among routers: who is there, and what part of the whole each may use.

Pure state machines told messages and the time: ``view`` keeps what is known of every member, ``detector``
watches, accuses and spreads, ``shares`` grants parts of what all divide; ``codec`` is the form on the wire.
``driver`` has the socket. Nothing here is imported by a router that runs without it.
"""
