"""Versioned configuration: documents, the history of versions, the transaction, the store, the control
channel.

Nothing here is imported by a router that runs without it. ``sexp`` and ``schema`` read settings files,
``version_history`` decides on versions, ``config_transaction`` carries one out, ``store`` keeps them,
``version_manager`` joins these to a running router; ``session`` and ``client`` follow a control service,
``publisher`` and ``service`` are one.
"""
