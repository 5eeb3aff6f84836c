"""Capture and replay: all that the deciding module was told, and whether it would decide the same again.

``recorder`` sits at the one seam, ``Router.handle``; ``segments`` writes its records to disk and reads them;
``state`` is the module's whole state as bytes, for keyframes; ``policy`` loads the module of this checkout or
another; ``replay`` feeds a capture to it and compares; ``explanation`` tells what happened to one request.
"""
