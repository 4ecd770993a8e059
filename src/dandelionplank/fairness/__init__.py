"""Fair queueing between client accounts."""
