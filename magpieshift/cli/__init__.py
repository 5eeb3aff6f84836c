"""The command-line interface: sub-commands based on click, log output based on structlog."""
