"""The admin server: operators' commands on a socket of their own, one line each."""
