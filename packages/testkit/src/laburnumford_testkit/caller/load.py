"""Open-loop load generator."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Sequence

from laburnumford_testkit.caller import call as call_module
from laburnumford_testkit.caller import caller as caller_module

MAX_CALLS_PER_LOAD = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Poisson arrivals of several kinds of calls, sent to random addresses.

    Attributes:
        calls: kinds of calls, chosen at random with their `share` as weight.
        addresses: `ip:port` of the nodes, chosen at random for each call.
        rate_per_s: mean arrivals per second.
        duration_s: time in seconds in which calls arrive.
        max_calls: maximum of arrivals, skipped ones included.
        max_in_flight: maximum of calls in flight; a further arrival is skipped and counted.
        seed: seed for the random choice of arrival times, kinds and addresses.
    """

    calls: Sequence[call_module.Call]
    addresses: Sequence[str]
    rate_per_s: float
    duration_s: float
    max_calls: int = MAX_CALLS_PER_LOAD
    max_in_flight: int = 5000
    seed: int = 1


async def run(load: Load, caller: caller_module.Caller) -> int:
    """Runs a load until all of its calls have ended.

    Arrivals do not wait for answers. Latencies count from the time at which a call was due, so
    that latency is not hidden if this generator is late (coordinated omission).

    Returns:
        Number of arrivals that were skipped because of `max_in_flight`.
    """
    generator = random.Random(load.seed)
    shares = [call.share for call in load.calls]
    in_flight: set[asyncio.Task[object]] = set()
    skipped = 0
    started = 0
    begin = time.monotonic()
    due = begin + generator.expovariate(load.rate_per_s)
    try:
        while due < begin + load.duration_s and started < load.max_calls:
            delay_s = due - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            call = generator.choices(load.calls, shares)[0]
            address = generator.choice(load.addresses)
            started += 1
            if len(in_flight) >= load.max_in_flight:
                skipped += 1
            else:
                task: asyncio.Task[object] = asyncio.create_task(caller.call(call, address, due))
                in_flight.add(task)
                task.add_done_callback(in_flight.discard)
            due += generator.expovariate(load.rate_per_s)
        if in_flight:
            # Each call ends by its own timeout and maximum of retries.
            await asyncio.wait(in_flight)
    finally:
        for task in list(in_flight):
            task.cancel()
    return skipped
