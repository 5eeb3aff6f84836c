"""Capture and replay: all events that the policy got, and whether it would decide the same again.

``recorder`` stands between engine and policy, at ``RouterPolicy.handle``; ``writer`` writes what passes
there in a thread of its own, as ``items`` and ``codec`` make records of it, into the files of ``segments``.
``state`` is the policy's whole state as bytes, for keyframes. ``policy`` loads the policy of this checkout
or another one, under the names of ``recorded_names``; ``replay`` feeds a capture to it and finds each
``difference``; ``explanation`` makes text of that; ``cut`` copies a part of a capture.
"""
