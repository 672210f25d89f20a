"""What one change costs at several sizes of the fleet: the merge, then with what hangs on it.

All in this process and on made-up changes, each timed by itself; the sizes take turns, so that whatever else
the machine does falls on all of them.
"""

from __future__ import annotations

import asyncio
import gc
import random
import time
from collections.abc import Iterator
from dataclasses import replace
from statistics import median

from balancer.core.discovery.endpoint_merger import ApplyEndpoints, EndpointMerger, EndpointsListed
from balancer.core.discovery.source_state import Source, SourceRole
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.interface import Endpoint, EndpointsUpdated, Phase
from balancer.net.backend_pool import BackendPool
from balancer.platform_settings import parse
from balancer.policy.balancer import Balancer
from balancer.testbed.service_profile import Site
from benchmarks.result_table import Row, part_of

WHO, ORDER = "etcd", "1/0"
LAYERS = ("merge alone", "merge and pool", "merge, pool and the module's handle")
KINDS = ("gets another weight", "drains", "is removed", "comes")
NODES = 1000  # that share the fleet, as the settings say
TURN = 20  # changes at one size before the next one's turn


def server(number: int) -> EndpointRecord:
    """One of a fleet."""
    entry = Endpoint(f"s-{number:08x}", "ab"[number % 2], number // 16, 2.0, Phase.UP, 0.0, "m")
    return EndpointRecord(entry, (f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 8080))


class Subject:
    """A merge with a fleet of this size in it, listed by etcd, and what hangs on it."""

    def __init__(self, size: int, layer: str) -> None:
        self.size, self.layer = size, layer
        self.rng = random.Random(size)
        settings = parse(Site().settings(0, NODES))
        self.merge = EndpointMerger(
            [Source("platform"), Source(WHO, SourceRole.FULL, has_partial_revisions=True)]
        )
        self.pool = None if layer == LAYERS[0] else BackendPool(settings, 400)
        self.module = Balancer(settings, 1) if layer == LAYERS[2] else None
        self.now_ms, self.revision = 0.0, 1
        self.spent: list[list[float]] = [[] for _ in KINDS]
        self._hand(EndpointsListed("platform", "127.0.0.1:1", EndpointList(1, True, ()), is_cached=True))
        whole = EndpointList(1, True, tuple(server(n) for n in range(size)))
        self._hand(EndpointsListed(WHO, ORDER, whole, is_cached=True))

    def _hand(self, event: EndpointsListed) -> None:
        self.now_ms += 1.0
        for action in self.merge.handle(self.now_ms, event):
            if not isinstance(action, ApplyEndpoints):
                continue
            if self.pool is not None:
                self.pool.update(action.records, [m.id for m in action.removed_records])
            if self.module is not None:
                entries = [m.endpoint for m in (*action.removed_records, *action.records)]
                self.module.handle(self.now_ms, EndpointsUpdated(action.kind, entries, action.revision))

    def turn(self) -> None:
        """Some servers in turn get another weight, drain, go and come back."""
        for _ in range(TURN):
            one = server(self.rng.randrange(self.size))
            lighter = EndpointRecord(replace(one.endpoint, weight=self.rng.uniform(1.0, 2.0)), one.address)
            drains = EndpointRecord(replace(one.endpoint, phase=Phase.DRAINING), one.address)
            words = (((lighter,), ()), ((drains,), ()), ((), (one.id,)), ((one,), ()))
            for spent, (said, gone) in zip(self.spent, words, strict=True):
                self.revision += 1
                event = EndpointsListed(WHO, ORDER, EndpointList(self.revision, False, said, gone))
                began = time.perf_counter_ns()
                self._hand(event)
                spent.append((time.perf_counter_ns() - began) / 1e6)


async def changes(sizes: list[int], turns: int) -> Iterator[Row]:
    """Medians and 99th percentiles, and how the median grows."""
    rows = []
    for layer in LAYERS:
        subjects = [Subject(size, layer) for size in sizes]
        gc.collect()
        gc.freeze()
        for subject in subjects:
            subject.turn()
            for spent in subject.spent:
                spent.clear()
        for _ in range(turns):
            for subject in subjects:
                subject.turn()
                await asyncio.sleep(0)
        gc.unfreeze()
        slowest = max(range(len(KINDS)), key=lambda kind: median(subjects[-1].spent[kind]))
        middle = [median(s.spent[slowest]) for s in subjects]
        figures = ", ".join(f"{m:.3f} ms at {s.size:,}" for m, s in zip(middle, subjects, strict=True))
        rest = ", ".join(f"{part_of(s.spent[slowest], 0.99):.3f}" for s in subjects)
        aims = ("", "0.3 ms at 10,000", "")
        rows.append(Row(f"{layer}: median", figures, aims[LAYERS.index(layer)]))
        rows.append(Row(f"{layer}: 99% below", f"{rest} ms"))
        ratio, what = f"{middle[-1] / middle[0]:.1f} times as much", f"from {sizes[0]:,} to {sizes[-1]:,}"
        rows.append(Row(f"{layer}: {what}", ratio, "hardly grows"))
        rows.append(Row(f"{layer}: the change that costs most", f"a server {KINDS[slowest]}"))
    return iter(rows)
