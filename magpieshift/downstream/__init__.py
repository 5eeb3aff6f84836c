"""The front: clients speak binary frames to it."""
