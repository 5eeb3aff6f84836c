"""The decisions at work: request table, attempts, timers. Knows no socket and no protocol."""
