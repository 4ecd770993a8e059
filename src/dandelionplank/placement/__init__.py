"""Which target serves which model."""
