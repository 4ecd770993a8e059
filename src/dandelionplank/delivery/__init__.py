"""Attempts at targets: connections, answers, streams."""
