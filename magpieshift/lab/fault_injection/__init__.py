"""A proving ground: many real router processes, and faults put between and into them."""
