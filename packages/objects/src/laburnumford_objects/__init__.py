"""Published objects, settings and checks of laburnumford."""

__all__ = [
    "backend_server",
    "deployment",
    "errors",
    "group",
    "jsonc",
    "located",
    "measuring",
    "node_limits",
    "node_log",
    "node_settings",
    "node_trace",
    "object_set",
    "policy",
    "problem",
    "registry",
    "route",
    "service",
    "settings",
    "source",
    "zone",
]
