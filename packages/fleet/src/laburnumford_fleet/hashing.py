"""Hash function for names of nodes and servers."""

import xxhash


def hash_name(name: str, *, seed: int = 0) -> int:
    """Returns a 64-bit hash of a name that is the same in all processes."""
    return int(xxhash.xxh3_64_intdigest(name.encode(), seed=seed))
