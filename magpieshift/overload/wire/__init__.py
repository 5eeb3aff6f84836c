"""Generated from overload.proto."""
