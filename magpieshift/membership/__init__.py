"""Membership among routers: which are present, and what part of the whole each may use.

State machines of messages and time: ``failure_detector`` monitors, reports and spreads, ``member_table``
holds what is known, ``quota_lease`` deals out the whole by leases, ``codec`` is the form on the wire, and
``driver`` does the I/O. A router that runs without membership imports none of it.
"""
