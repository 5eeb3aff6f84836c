"""The command line: sub-commands on click, log lines on structlog."""
