"""What each role of a fleet costs by what grows: measured, fitted, and held against its budget."""
