"""Stand-ins of the platform and of its targets, with fault injection."""
