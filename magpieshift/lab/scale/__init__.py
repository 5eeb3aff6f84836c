"""The laboratory of scale: hollow routers, their stand-ins, and a load at the rates of a large fleet."""
