"""Servers that have refused a caller because it is above its share.

Load pattern: a flooding caller. Without this record, each of its requests is refused by up to five
nodes of servers, so that the flood multiplies on the links between nodes.
"""

from collections.abc import Mapping

from laburnumford_mesh import frames
from laburnumford_policy.placement import server_view, share_excess

_MAX_HOLD_S = 0.02
"""Longest time without another try. It bounds the tries of a flooding class to 50 a second at each
server. A longer hold would let the queue of the server run empty, which holds some 100 ms of
work."""

_MAX_HOLDS = 2_000
"""Bound on the entries, about 200 bytes each. Above it, further refusals are not recorded until
others have expired."""


class ShareHolds:
    """Remembers for a short time which callers a server has refused for their share."""

    def __init__(self) -> None:
        self._until_s_by_key: dict[tuple[str, str, int], float] = {}

    def observe(
        self, request_class: str, connection: int, refusal: frames.Refusal, now: float
    ) -> None:
        """Records a refusal, if it was for the share of the caller."""
        if not refusal.share_level:
            return
        if len(self._until_s_by_key) >= _MAX_HOLDS:
            self._prune(now)
        if len(self._until_s_by_key) < _MAX_HOLDS:
            own = refusal.share_level >= share_excess.ShareLevel.CONNECTION
            key = (refusal.load.server_id, request_class, connection if own else 0)
            self._until_s_by_key[key] = now + min(refusal.retry_after_s, _MAX_HOLD_S)

    def held_server_ids(
        self,
        request_class: str,
        connection: int,
        view_by_id: Mapping[str, server_view.ServerView],
        now: float,
    ) -> tuple[set[str], float]:
        """Returns the servers that would refuse a request, and the seconds until one may not.

        A server that is known to have a free slot is not among them.
        """
        if not self._until_s_by_key:
            return set(), 0.0
        until_s_by_id: dict[str, float] = {}
        for server_id, view in view_by_id.items():
            until_s = max(
                self._until_s_by_key.get((server_id, request_class, key), 0.0)
                for key in (0, connection)
            )
            if until_s > now and not view.has_free_slot(now):
                until_s_by_id[server_id] = until_s
        return set(until_s_by_id), min(until_s_by_id.values(), default=now) - now

    def _prune(self, now: float) -> None:
        self._until_s_by_key = {
            key: until_s for key, until_s in self._until_s_by_key.items() if until_s > now
        }
