"""The records of a capture. ``capture_pb2`` is made from ``capture.proto`` by ``make proto``."""
