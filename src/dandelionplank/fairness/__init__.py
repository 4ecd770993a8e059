"""Fair ordering of work between client accounts."""
