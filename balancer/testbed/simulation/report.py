"""What a run of the fleet comes to."""

from __future__ import annotations

from dataclasses import dataclass, field

from balancer.testbed.simulation.scenario import Scenario


@dataclass(slots=True, frozen=True)
class Report:
    """A run's figures. Those of service and waiting are of what was asked after the warm-up.

    `service` is the worth answered within its aim over the worth asked for. Waiting, in milliseconds, is what
    an answer took beyond the time it ran: in line, on the network, held, tried elsewhere. `largest_share` is
    the most that any one server received, in shares of the mean. `chokes` is how often a server that held too
    many turned slow, `errors` how many attempts a failing one answered. `digest` goes by each attempt and its
    time: equal ones mean the same run. `cpu_us` is the policy's CPU time for each request, all its events
    counted, where it was measured; it differs from run to run and does not count in a comparison.
    """

    scenario: Scenario
    asked: int
    served: int
    refused: int
    failed: int
    retried: int
    attempts: int
    service: float
    wait_mean_ms: float
    wait_p50_ms: float
    wait_p99_ms: float
    largest_share: float
    rules: tuple[int, int, int, int]
    breaches: tuple[str, ...]
    chokes: int
    errors: int
    digest: int
    cpu_us: float = field(default=0.0, compare=False)

    @property
    def ok(self) -> bool:
        """Whether no rule was broken."""
        return not any(self.rules)
