"""Choice of targets, limits and retries."""
