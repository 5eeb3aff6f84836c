"""The laboratory of scale: hollow routers, their control, and a load at the rates of a large fleet."""
