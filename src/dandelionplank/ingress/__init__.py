"""Callers' connections: requests in, answers out."""
