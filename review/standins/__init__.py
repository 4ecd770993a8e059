"""Stand-ins for the cases of the review; only the standard library."""
