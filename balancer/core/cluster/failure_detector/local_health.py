"""Local health: how far this node doubts itself (Lifeguard's local health multiplier)."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.core.cluster.failure_detector import parameters


@dataclass(slots=True)
class LocalHealth:
    """`score` is 0 if this node is well and at most `MAX_LOCAL_HEALTH`.

    A node that may be slow itself waits longer for others.
    """

    is_enabled: bool = True
    score: int = 0

    @property
    def factor(self) -> int:
        """By how much periods and timeouts are longer."""
        return self.score + 1

    def adjust(self, change: int) -> None:
        """Note signs that this node is slow (above 0) or well (below)."""
        if self.is_enabled:
            self.score = min(parameters.MAX_LOCAL_HEALTH, max(0, self.score + change))
