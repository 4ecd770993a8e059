"""Which instances of the fleet are alive."""
