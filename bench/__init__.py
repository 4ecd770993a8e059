"""Bench: scenarios over real router processes and stand-ins on loopback."""
