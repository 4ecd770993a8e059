"""What the instances of one fleet know of each other and of the store."""
