"""Versioned configuration: documents, the history of versions, the store, and the control channel.

Nothing here is imported by a router that runs without it. ``sexp`` and ``schema`` read settings files,
``version_history`` decides on versions, ``version_store`` stores them, ``version_manager`` joins these to a
running router; ``session`` and ``client`` follow a control service, ``publisher`` and ``service`` are one.
"""
