"""By when a node that is told to end has done what: numbers in, times out.

SIGKILL comes no sooner than the longest deadline of the settings, MOST_MS at most, and 0.7 s more after
SIGTERM, and until then clients send on every connection that stays open. So there are two times, both counted
from the signal: until the first, new connections are taken (they go on coming for 0.4 s); by the second, all
that was taken is answered, whatever its own deadline says. What is left is for the process's own end.

No events of its own types, as in `pause`: it is asked once, and loaded by every start.
"""

from __future__ import annotations

from dataclasses import dataclass

from balancer.core.stall_detector import SETTLE_MS
from balancer.interface import Settings

MOST_MS = 3_000.0  # of the longest deadline; what may wait for longer is failed at the end
ACCEPT_MS = 500.0  # after the signal: over the 0.4 s in which connections come
LAST_MS = 500.0  # after the signal, beside the longest deadline: 0.2 s before SIGKILL at the earliest
FRESH_MS = 200.0  # for a new connection's first byte at the end: who connects has a request to send
LEAST_MS = 3 * SETTLE_MS  # for what lies in the sockets of a process that stood still, however old the signal


@dataclass(frozen=True, slots=True)
class Ends:
    """Until when connections are accepted, and by when all is answered, on the clock of `ends`."""

    accept_ms: float
    last_ms: float


def ends(settings: Settings, now_ms: float, age_ms: float = 0.0) -> Ends:
    """The times for a signal that is seen now and may have come `age_ms` before."""
    longest = min(MOST_MS, max((cls.deadline_ms for cls in settings.classes), default=MOST_MS))
    last = max(now_ms - age_ms + longest + LAST_MS, now_ms + LEAST_MS)
    # The signal may as well have come just now: connections are accepted as long as they can be answered.
    return Ends(min(now_ms + ACCEPT_MS, last - SETTLE_MS), last)
