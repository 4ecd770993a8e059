"""Tasks and HTTP handlers of the router daemon."""
