"""Estimates whether this node itself is slow (Lifeguard's local health multiplier)."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.core.cluster.failure_detector import parameters


@dataclass(slots=True)
class LocalHealth:
    """The health score of this node: 0 if it is healthy, up to `MAX_LOCAL_HEALTH` if it may be slow.

    A node that may be slow itself waits longer for other nodes.
    """

    is_enabled: bool = True
    score: int = 0

    @property
    def factor(self) -> int:
        """The multiplier for periods and timeouts."""
        return self.score + 1

    def adjust(self, change: int) -> None:
        """Adjusts the score; `change` is positive if this node seems slow, negative if it seems healthy."""
        if self.is_enabled:
            self.score = min(parameters.MAX_LOCAL_HEALTH, max(0, self.score + change))
