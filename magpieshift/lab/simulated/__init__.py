"""Whole fleets on one fake clock: the real engine and module, and stores and clients that are models."""
