"""Capture and replay: records the events and actions of the policy, and checks whether a policy decides the
same on recorded events.

``recorder`` stands between the engine and the policy, at ``RouterPolicy.handle``, and queues what passes for
``writer``. That converts it to records with ``items`` and ``codec`` in a thread of its own, and writes them
to the files of ``segments``. ``state`` serializes the policy's whole state for keyframes. ``policy`` loads
the policy of this or another checkout, whose classes and fields are mapped by ``recorded_names``; ``replay``
feeds a capture to it and finds each ``difference``; ``explanation`` describes captures and differences as
text; ``cut`` copies a part of a capture.
"""
