"""Stand-ins, load, fault proxy, judge and benches of laburnumford."""
