"""The request engine: requests, attempts and timers around the policy. Knows no socket and no protocol."""
