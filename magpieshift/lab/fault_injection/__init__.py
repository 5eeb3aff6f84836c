"""Fault injection: a cluster of real router processes, with faults in them and on the links between them."""
