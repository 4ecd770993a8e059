"""The operators' configuration and its changes."""
