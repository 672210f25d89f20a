"""When a node's turn is, among all that start or lose something together. No messages: each follows it alone.

A fleet that starts at one moment acts alike; chance spreads it, with a crowd here and a gap there. A node's
*turn* is instead its number's place on a ring by the golden ratio: the nodes from 0 on lie evenly, however
many of them there are (Weyl; Knuth, TAOCP 3, 6.4, on Fibonacci hashing). A stretch is as long as the other
side needs to bear all of them.
"""

from __future__ import annotations

import math

GOLDEN = (math.sqrt(5) - 1) / 2
LEAST_MS, MOST_MS = 100.0, 60_000.0  # of a stretch
DOUBLINGS = 5
ROOM = 0.8  # part of what the other side bears that the nodes together take up


def turn(me: int) -> float:
    """A node's place in a stretch, from 0 up to 1."""
    return me * GOLDEN % 1.0


class Turns:
    """Calls of one kind by `nodes` nodes to something that bears `bears_per_s` of them.

    `first_ms` is the wait before the first call, `again_ms` the one after a call that failed: it falls into
    the next stretch, where all that still wait lie as evenly as before, and never before the other side's own
    advice. Each refusal in a row doubles the stretch, DOUBLINGS times and to MOST_MS at the most, as the
    other side bears less than was said; one that is away does not. `done` begins anew.
    """

    def __init__(self, me: int, nodes: int, bears_per_s: float) -> None:
        if not (nodes >= 1 and 0 < bears_per_s < math.inf):
            raise ValueError(f"{nodes} nodes, {bears_per_s} calls a second: both have to be over 0")
        self.turn, self.refusals = turn(me), 0
        self.base_ms = min(MOST_MS, max(LEAST_MS, 1000.0 * nodes / (ROOM * bears_per_s)))

    @property
    def stretch_ms(self) -> float:
        """Over which all nodes' calls are laid now."""
        return min(MOST_MS, self.base_ms * 2.0 ** min(self.refusals, DOUBLINGS))

    def first_ms(self) -> float:
        """The wait from the start on."""
        return self.stretch_ms * self.turn

    def again_ms(self, refused: bool, advice_ms: float = 0.0) -> float:
        """The wait after a failure; `advice_ms` is the `Retry-After` of one that refused, 0 for none."""
        rest = self.stretch_ms * (1.0 - self.turn)  # of this stretch
        self.refusals += refused
        wait = rest + self.first_ms()
        return wait if advice_ms <= wait else advice_ms + self.first_ms()

    def done(self) -> None:
        """It was answered."""
        self.refusals = 0
