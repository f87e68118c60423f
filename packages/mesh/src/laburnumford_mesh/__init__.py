"""Load balancer node that gets its configuration and servers from a watched key-value store."""
