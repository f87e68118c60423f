"""Node of the load balancer, run as `laburnumfordd` beside each backend server."""
