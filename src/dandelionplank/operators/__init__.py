"""The operators' language."""
