"""The gossip digests. ``overload_pb2`` is generated from ``overload.proto`` by ``make proto``."""
