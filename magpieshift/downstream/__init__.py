"""Connections of clients, which send requests in binary frames."""
