"""Versioned configuration: documents, the version history, the version store, and the control channel.

A router without versioned configuration imports none of this package. ``sexp`` and ``schema`` read settings
files, ``version_history`` accepts or rejects versions, ``version_store`` writes them to disk, and
``version_manager`` applies them to a running router. ``router_session`` and ``client`` implement the router's
end of the control channel, ``publisher`` and ``service`` the control service's end.
"""
