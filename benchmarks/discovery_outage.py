"""A thousand nodes that lost their source at the same moment: how many come back within any one second.

The deciders alone, in virtual time: nothing here takes as long as it says. All nodes lose etcd, or the
platform's discovery, at once; it is back OUTAGE_MS later, and each node finds out when its own time comes.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

from balancer.core.discovery import platform_watcher as pf
from balancer.core.discovery.etcd_watcher import messages as ef
from balancer.core.discovery.etcd_watcher.watcher import EtcdWatcher
from balancer.testbed.polled_discovery import max_calls_within
from balancer.testbed.virtual_clock import VirtualClock
from benchmarks.result_table import Row

NODES = 1000
CALM_MS, OUTAGE_MS, AFTER_MS = 20_000.0, 60_000.0, 30_000.0
CALL_MS = 1.0  # that a call takes, answered or refused
FROM_MS, UNTIL_MS = CALM_MS, CALM_MS + OUTAGE_MS  # of the outage
WHERE = ef.Position("77", 100, 1)


class EtcdNode:
    """One node's `EtcdFollow` against endpoints that answer, refuse or say nothing."""

    def __init__(self, clock: VirtualClock, seed: int, frozen: bool) -> None:
        self.clock, self.frozen = clock, frozen
        self.follow = EtcdWatcher("etcd", 3, random.Random(seed))
        self.back: list[float] = []  # moments of what an etcd that is there again said
        self.watch = 0

    @property
    def away(self) -> bool:
        """Whether etcd is not there."""
        return FROM_MS <= self.clock.now_ms < UNTIL_MS

    def hand(self, event: ef.Event) -> None:
        """An event; what was decided on it."""
        heard = (
            isinstance(event, ef.CheckAnswered) and event.call_id == self.follow.state.session.check_call_id
        )
        if heard and self.clock.now_ms >= UNTIL_MS:
            self.back.append(self.clock.now_ms)
        for action in self.follow.handle(self.clock.now_ms, event):
            match action:
                case ef.SetTimer():
                    self._later(action.at_ms - self.clock.now_ms, ef.TimerFired(action.token))
                case ef.CheckEndpoint():
                    self._call(action.call_id, ef.CheckAnswered(action.call_id, WHERE))
                case ef.FetchSnapshotPage():
                    self._call(action.call_id, ef.SnapshotPageReceived(action.call_id, WHERE, (), b"", False))
                case ef.OpenWatch():
                    self.watch = action.call_id
                    self._call(action.call_id, ef.WatchCreated(action.call_id, WHERE))

    def _call(self, call: int, answer: ef.Event) -> None:
        if not self.away:
            self._later(CALL_MS, answer)
        elif self.frozen:  # what it was asked is answered once it goes on
            self._later(UNTIL_MS - self.clock.now_ms + CALL_MS, answer)
        else:
            self._later(CALL_MS, ef.CallFailed(call, ef.CallFault.FAILED, "refused"))

    def _later(self, wait_ms: float, event: ef.Event) -> None:
        self.clock.at(self.clock.now_ms + wait_ms, lambda: self.hand(event))

    def lose(self) -> None:
        """etcd goes: whoever only stands still does not say so."""
        if not self.frozen:
            self.hand(ef.CallFailed(self.watch, ef.CallFault.FAILED, "the connection ended"))


class PlatformNode:
    """One node's `PlatformFollow` against a discovery that is there or refuses."""

    def __init__(self, clock: VirtualClock, seed: int, frozen: bool) -> None:
        self.clock = clock
        self.follow = pf.PlatformWatcher(
            random.Random(seed), False, pf.MAX_RETRY_WAIT_MS / pf.RETRY_WAIT_PER_DRAIN_GRACE
        )
        self.back: list[float] = []

    def hand(self, event: pf.Event) -> None:
        """An event; what was decided on it. The list that it holds is that of revision 1."""
        now_ms = self.clock.now_ms
        for action in self.follow.handle(now_ms, event, 1):
            match action:
                case pf.SetRetryTimer():
                    self.clock.at(action.at_ms, lambda: self.hand(pf.RetryTimerFired()))
                case pf.StartWatch():
                    if now_ms >= UNTIL_MS:
                        self.back.append(now_ms)
                    away = FROM_MS <= now_ms < UNTIL_MS
                    answer = pf.CallEnded(False) if away else pf.DiscoveryAnswered()
                    self.clock.at(now_ms + CALL_MS, lambda said=answer: self.hand(said))  # type: ignore[misc]

    def lose(self) -> None:
        """Discovery goes: its watches end."""
        self.hand(pf.CallEnded(False))


def herd(nodes: int = NODES) -> Iterator[Row]:
    """The figures."""
    for kind, frozen, what in (
        (EtcdNode, False, "etcd, which refused connections"),
        (EtcdNode, True, "etcd, which stood still"),
        (PlatformNode, False, "discovery, which refused connections"),
    ):
        clock, rng = VirtualClock(), random.Random(7)
        fleet = [kind(clock, seed, frozen) for seed in range(nodes)]
        for node in fleet:
            begin = ef.WatcherStarted() if isinstance(node, EtcdNode) else pf.SubscriptionChanged(True)
            clock.at(rng.uniform(0, 1000.0), lambda n=node, e=begin: n.hand(e))  # type: ignore[misc]
            clock.at(FROM_MS, node.lose)
        clock.run(UNTIL_MS + AFTER_MS)
        first = [min(node.back) - UNTIL_MS for node in fleet if node.back]
        assert len(first) == nodes, f"{nodes - len(first)} nodes did not come back"
        most = f"{max_calls_within(first)} of {nodes}"
        yield Row(f"a minute without {what}: most back within any one second", most, "not all of them")
        yield Row(f"a minute without {what}: the last is back after", f"{max(first) / 1000:.1f} s")
