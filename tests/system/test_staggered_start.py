"""Twelve real nodes that need the whole list of one etcd at one moment, with `bears` set and left out."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from balancer.core.staggering import StaggeredSchedule
from balancer.testbed.dual_source_cluster import PREFIX, FleetWorld
from balancer.testbed.event_log import NodeStarted, now_ms
from tests.testbed.cluster_fixtures import of, until

NODES, BEARS = 12, 3
TURNS = [StaggeredSchedule(me, NODES, BEARS).first_delay_ms() for me in range(NODES)]  # over 5 s
CLOSE_MS = min(b - a for a, b in zip(sorted(TURNS), sorted(TURNS)[3:], strict=False))  # of any four
EARLY_MS = 2.0  # by which a timer may fire before its time
LIMIT_S = 90.0


@pytest.mark.parametrize("bears", [BEARS, None])
def test_whole_lists_are_asked_for_in_turn_and_news_waits_for_none(bears: int | None, tmp_path: Path) -> None:
    """That a node asks no sooner than its turn holds on any machine. By their turns any four of them lie a
    second apart: only where one was that late may a fourth come within 100 ms, and be refused.

    Without the wait of `core/discovery/etcd_watcher._turn_wait` it fails; with `bears` left out all ask at
    once.
    """

    async def play() -> None:
        async with FleetWorld(tmp_path, servers=3, nodes=NODES, endpoints=1, bears=bears) as world:
            shared, ends, started = world.etcd.shared, world.etcd.members, of(world.journal, NodeStarted)
            begun = {int(record.node[1:]): record.at_ms for record in started}
            first = {n: at for at, n, _ in reversed(shared.lists)}  # each node has an endpoint of its own
            in_turn = [n for n in range(NODES) if first[n] - begun[n] >= TURNS[n] - EARLY_MS]
            assert bears is None or len(in_turn) == NODES, (begun, first)
            # A list may be there and its watch still on the way, which nobody could end.
            await until(lambda: all(any(s.watches for s in one.streams.values()) for one in ends))
            shared.lists.clear()
            shared.bears = BEARS  # in any 100 ms, ten times as many a second as the nodes are told
            at_ms, revision = now_ms(), world.etcd.store.revision
            world.every(lambda n: world.etcd.cancel(n, compact_revision=revision))
            row = next(row for row in world.fleet.members() if row["id"] == "s1")
            await world.writer.write([row | {"phase": "terminating"}])
            await until(lambda: {n for _, n, let_in in shared.lists if let_in} == set(range(NODES)))
            asked = {n: at - at_ms for at, n, _ in reversed(shared.lists)}
            refused = sum(not let_in for _, _, let_in in shared.lists)
            early = [n for n in range(NODES) if asked[n] < TURNS[n] - EARLY_MS]
            if bears is None:
                assert len(early) > NODES / 2 and refused, (asked, refused)
                return
            late = max(asked[n] - TURNS[n] for n in range(NODES))
            assert not early and (not refused or late > CLOSE_MS - 100.0), (asked, refused)
            # Whose turn is last (4.7 s) has heard of the drain by its new watch before.
            last = max(range(NODES), key=lambda n: TURNS[n])
            heard = [r for r in world.etcd.records if (r.kind, r.endpoint) == ("watch", last)]
            moments = [r.at_ms - at_ms for r in heard if r.at_ms > at_ms and PREFIX + "s1" in r.put]
            assert moments and moments[0] < asked[last], (moments, asked)

    asyncio.run(asyncio.wait_for(play(), LIMIT_S))
