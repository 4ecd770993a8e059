"""Routes, placement on targets, admission, limits and retries."""
