"""A testbed of many real router processes, with faults injected between them and into them."""
