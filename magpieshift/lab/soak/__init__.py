"""Short lives of real routers: drawn from a seed, full of signals, and judged to the last request."""
