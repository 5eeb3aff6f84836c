"""What joins optional parts to a router; the platform's run imports none of it."""
