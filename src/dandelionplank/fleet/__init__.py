"""The gateway daemon and its view of the store, the targets and its peers."""
