"""The admin server, which accepts operators' commands on a separate socket, one line each, and its client."""
