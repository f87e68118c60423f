"""Publisher of the versions of a workspace."""

import time

from laburnumford_objects import bundle, object_set, published
from laburnumford_testkit.judge import versions
from laburnumford_testkit.platform import client


class Publisher:
    """Publishes the versions of a workspace to a fake platform.

    Args:
        platform: client of the fake platform.
        workspace: name of the workspace.

    Attributes:
        publications: all published versions with their times.
    """

    def __init__(self, *, platform: client.PlatformClient, workspace: str) -> None:
        self.publications: list[versions.Publication] = []
        self._platform = platform
        self._workspace = workspace
        self._values: dict[str, bytes] = {}
        self._published: published.PublishedVersion | None = None

    @property
    def version(self) -> int:
        """The last published version, or 0 if there is none."""
        return 0 if self._published is None else self._published.version

    async def publish(self, objects: object_set.ObjectSet) -> int:
        """Publishes `objects` as the next version and returns its number.

        Raises:
            BundleError: the objects have problems.
        """
        values = bundle.bundle(self._published, objects, self.version + 1)
        self._values.update(values)
        self._published = bundle.read(self._values, self._workspace)
        await self._platform.publish(values)
        publication = versions.Publication(version=self.version, at=time.monotonic())
        self.publications.append(publication)
        return self.version
