"""Whether work starts on a server that is slow at this moment.

Answers the load pattern of neighbours on shared machines: how long work takes is settled by
the speed at its start, and a slow spell usually ends within some hundred milliseconds. Work
that starts in a spell of factor five takes longer than the rest of the spell and the work
after it together.
"""

import dataclasses

SPELL_S = 0.1
"""Expected rest of a slow spell that was just noticed."""

SLOW_FACTOR = 1.5
"""Below this a server counts as undisturbed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Speed:
    """How fast a server is.

    Attributes:
        slowness: how long work takes now, 1.0 is as usual.
        slow_for_s: seconds since the server was last seen undisturbed, 0 if it is now.
    """

    slowness: float
    slow_for_s: float

    @property
    def slow(self) -> bool:
        """Whether the server is in a slow spell."""
        return self.slowness > SLOW_FACTOR


def rest_of_spell_s(speed: Speed) -> float:
    """Returns the expected rest of a slow spell; the longer it has lasted, the longer."""
    return max(SPELL_S, speed.slow_for_s)


def expected_end_s(speed: Speed, work_s: float) -> float:
    """Returns the time until work is done that starts at the best moment from now on."""
    now_s = work_s * speed.slowness
    if not speed.slow:
        return now_s
    return min(now_s, rest_of_spell_s(speed) + work_s)


def starts_now(*, speed: Speed, work_s: float, left_s: float) -> bool:
    """Returns whether work should start now instead of after the slow spell.

    Args:
        speed: speed of the server at this moment.
        work_s: time that the work takes on an undisturbed server.
        left_s: time until the deadline.
    """
    if not speed.slow:
        return True
    now_s = work_s * speed.slowness
    later_s = rest_of_spell_s(speed) + work_s
    if now_s > left_s:
        # Started now it is late for certain; as long as it fits, the spell may end.
        return False
    return now_s <= later_s
