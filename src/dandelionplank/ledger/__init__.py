"""Cumulative usage, charges and statements."""
