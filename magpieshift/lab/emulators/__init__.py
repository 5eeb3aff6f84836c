"""Emulators of a router's peers (endpoints, change log and clients), written from the protocol pages."""
