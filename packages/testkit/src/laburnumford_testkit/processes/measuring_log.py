"""Measuring requests that the backend servers of a cluster have recorded."""

import contextlib

from laburnumford_objects import object_set
from laburnumford_testkit import errors
from laburnumford_testkit.judge import measuring
from laburnumford_testkit.processes import cluster as cluster_module


async def collect(cluster: cluster_module.Cluster) -> tuple[measuring.MeasuringLoad, ...]:
    """Returns the measuring requests and budget of each running backend server that answers."""
    collected = []
    for name in cluster.servers_by_name:
        if not cluster.backends_by_name[name].running:
            continue
        with contextlib.suppress(errors.TestkitError):
            calls_per_s, bytes_per_s = measuring_budget(
                cluster.objects, cluster.service_by_server[name]
            )
            collected.append(
                measuring.MeasuringLoad(
                    server=name,
                    requests=await cluster.backend(name).measuring_requests(),
                    calls_per_s=calls_per_s,
                    bytes_per_s=bytes_per_s,
                )
            )
    return tuple(collected)


def measuring_budget(objects: object_set.ObjectSet, service: str) -> tuple[float, float]:
    """Returns the measuring budget of a service in calls and bytes per second."""
    policy = objects.policies_by_name[objects.services_by_name[service].policy]
    while policy.extends is not None and "measuring" not in policy.model_fields_set:
        policy = objects.policies_by_name[policy.extends]
    return policy.measuring.calls_per_s, policy.measuring.bytes_per_s
