"""The operators' language: parsing, execution and reports."""
