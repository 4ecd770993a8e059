"""Callers' connections: requests in, responses out."""
