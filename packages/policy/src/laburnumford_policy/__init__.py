"""Load balancing decisions of laburnumford."""
