"""Sends requests to targets: connections, responses, streams, retries."""
