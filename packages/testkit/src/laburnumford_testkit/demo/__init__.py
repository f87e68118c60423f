"""Demo that runs both example deployments as real processes under a mixed load."""

from laburnumford_testkit.demo import demo, deployment_run, outcome, scenario, table

__all__ = ["demo", "deployment_run", "outcome", "scenario", "table"]
