"""At-most-once execution of keyed calls."""
