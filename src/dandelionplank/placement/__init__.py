"""Assignment of models to targets."""
