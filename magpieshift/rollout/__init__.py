"""Rollouts of a new version to a fleet: plan, coordinator, canary analysis and executor."""
