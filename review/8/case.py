"""Failures of a server that has run a booking, which callers are told as "has not run"."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin2"))

import world

_CALLERS = 10
_DEADLINE_MS = 1000
_GREY_SHARE = 0.45
"""Share of its requests that a grey server fails; the site files have 0.4 to 0.55."""

_CALM_S = 3.0
_GREY_S = 6.5
_PROMISES = frozenset({408, 421, 429, 503})
"""Statuses which state that the request has not run and never will."""


async def _call(
    node: world.Node, name: str, outcomes: list[world.Outcome], until_s: float
) -> None:
    """Books one after the other."""
    caller = world.Caller(node, name, outcomes)
    while world.now() < until_s:
        await caller.send("POST", "/book/x", body=2000, deadline_ms=_DEADLINE_MS)
        await asyncio.sleep(0.05)
    caller.close()


async def _play(made: world.World, record: list[str]) -> list[str]:
    await made.start([world.path("/book/", "desk", "non_idempotent", _DEADLINE_MS / 1000)])
    outcomes: list[world.Outcome] = []
    until_s = world.now() + 2 * _CALM_S + _GREY_S
    callers = [
        asyncio.create_task(_call(made.nodes[each % 3], f"c{each}", outcomes, until_s))
        for each in range(_CALLERS)
    ]
    await asyncio.sleep(_CALM_S)
    if made.trouble:
        made.upstreams[1].grey_share = _GREY_SHARE
        record.append(
            f"{made.upstreams[1].server_id} grey from {world.now() - made.started_s:.3f}"
        )
    await asyncio.sleep(_GREY_S)
    made.upstreams[1].grey_share = 0.0
    await asyncio.gather(*callers)
    runs_by_id = made.runs_by_id()
    found = []
    for each in outcomes:
        runs = runs_by_id.get(each.request_id, [])
        if each.status != 200:
            record.append(world.describe(each, runs, made.started_s))
        if each.status in _PROMISES and runs:
            found.append(f"REFUSED: {each.request_id} was answered {each.status} and has run")
    record.append(f"{len(outcomes)} bookings, {len(found)} of them ran and were answered 503")
    return found


if __name__ == "__main__":
    folder = str(pathlib.Path(__file__).resolve().parent)
    sys.exit(world.main(folder, ["desk", "desk", "desk"], (0.08, 0.16), _play))
