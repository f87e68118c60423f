"""The node for VMs whose publisher is a watched key-value store, and its parts."""
