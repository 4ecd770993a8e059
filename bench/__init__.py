"""Benchmarks and soaks of real processes with stand-ins on loopback."""
