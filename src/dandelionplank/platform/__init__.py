"""Adapters to the platform's services and to targets."""
