"""Measures how the cost of each role grows with the fleet, fits a curve and compares it with a budget."""
