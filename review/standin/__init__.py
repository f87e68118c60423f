"""Stand-ins for the platform, backend servers and callers, and a small deployment of real nodes."""
