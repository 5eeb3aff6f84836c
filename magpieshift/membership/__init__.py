"""Membership of the router fleet: which routers are present, and which quota of shared capacity each may use.

State machines of messages and time: ``failure_detector`` monitors members, reports silent ones and
disseminates updates, ``member_table`` holds this router's view, ``quota_lease`` distributes the shared
capacity by leases, ``codec`` encodes datagrams, and ``driver`` does the I/O. A router without membership
imports none of these modules.
"""
