"""Fleet membership and failure detection."""
