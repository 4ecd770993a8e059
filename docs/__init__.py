"""Documentation and the program that makes a part of it."""
