"""The request engine: requests, attempts and timers around the policy, without sockets or wire protocols."""
