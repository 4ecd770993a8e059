"""Small stand-ins of the platform and of the served systems, with faults."""
