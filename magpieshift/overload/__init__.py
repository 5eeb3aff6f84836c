"""What routers that may talk do together where stores or routers have too much: pure state machines, told
the time and what others say. Off unless the settings ask for it; without reports each router does what it
would do alone."""
