"""Connections of clients, who send requests in binary frames."""
