"""The membership datagrams. ``members_pb2`` is generated from ``members.proto`` by ``make proto``."""
