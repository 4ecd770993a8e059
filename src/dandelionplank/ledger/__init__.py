"""Cumulative use, charges and statements."""
