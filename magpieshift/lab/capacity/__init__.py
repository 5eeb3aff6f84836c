"""What each role costs by each thing that grows, fitted, and the tables of docs/CAPACITY.md."""
