"""The control channel's messages. ``control_pb2`` is made from ``control.proto`` by ``make proto``."""
