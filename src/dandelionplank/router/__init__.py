"""Tasks of the router daemon."""
