"""Emulators, written from the protocol pages, of what a router speaks to: endpoints, change log, clients."""
