"""The scale laboratory: hollow routers, the control processes that feed them, and a load at the rates of a
large fleet."""
