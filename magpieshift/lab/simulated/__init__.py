"""Simulations on one fake clock. Overload: fleets of the real engine and policy, with modelled endpoints and
clients. Fan-out: the real state machines over a modelled network. Rollouts: the real coordinator and canary
analysis over modelled processes."""
