"""Faults of configuration versions, which violate P7 (version never older)."""

import asyncio
from typing import Any

from laburnumford_fleet import platform_reader, value
from laburnumford_objects import bundle, published
from laburnumford_testkit import errors
from laburnumford_testkit.controls import fault, trial
from laburnumford_testkit.judge import invariant
from laburnumford_testkit.platform import mode

_OBSERVATION_BEFORE_REVERT_S = 1.0
_OBSERVATION_AFTER_REVERT_S = 3.0


@fault.faults.register("applies-lower-version")
class AppliesLowerVersion(fault.Fault):
    """A node applies the version that the platform shows, also a lower one."""

    invariant = invariant.Invariant.VERSION_NEVER_OLDER
    setup = trial.Setup(services=("assay-results",))

    def install(self) -> None:
        """Discards the version in force when the platform shows a lower one."""
        original_apply_head = platform_reader.PlatformReader._apply_head

        async def apply_head(self: Any, found: value.Value) -> None:
            workspace = self._store.object_set.workspace
            head = bundle.verify_head(published.empty(workspace), found.data)
            if head.version < self._store.version:
                self._store.__init__(workspace=workspace)
            await original_apply_head(self, found)

        fault.replace(platform_reader.PlatformReader, "_apply_head", apply_head)

    async def apply_load(self, active_trial: trial.Trial) -> None:
        """Publishes two changes, then makes the platform show the first version again."""
        cluster = active_trial.cluster
        found = await cluster.platform.read(bundle.key_prefix(cluster.objects.workspace) + "head")
        if found is None:
            raise errors.TestkitError("the platform has no head after version 1 was published")
        for _ in range(2):
            policies = {
                name: policy.model_copy(update={"queue_limit": policy.queue_limit + 1})
                for name, policy in cluster.objects.policies_by_name.items()
            }
            await cluster.publish(
                cluster.objects.model_copy(update={"policies_by_name": policies})
            )
        await self._observe(active_trial, _OBSERVATION_BEFORE_REVERT_S)
        await cluster.platform.set_mode(mode.Mode.BACKWARDS, found[1])
        await self._observe(active_trial, _OBSERVATION_AFTER_REVERT_S)

    async def _observe(self, active_trial: trial.Trial, duration_s: float) -> None:
        async with asyncio.timeout(duration_s + 10.0):
            end = asyncio.get_running_loop().time() + duration_s
            while asyncio.get_running_loop().time() < end:
                await active_trial.cluster.observe_versions()
                await asyncio.sleep(0.02)
