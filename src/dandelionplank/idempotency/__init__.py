"""At-most-once execution of calls with an idempotency key."""
