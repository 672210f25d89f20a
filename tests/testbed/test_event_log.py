"""The scribe: what a node is taken to know of etcd's keys by what an endpoint wrote to it."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from balancer.testbed.dual_source_cluster import PREFIX, Scribe
from balancer.testbed.etcd.shared import Record
from balancer.testbed.event_log import Journal, Told
from tests.testbed.cluster_fixtures import of

END = PREFIX[:-1] + chr(ord(PREFIX[-1]) + 1)


def test_a_count_of_the_keys_names_nobody() -> None:
    """Guards against a judge for whom a node that counts is told that all are gone."""
    row = SimpleNamespace(value=b'{"phase": "in_service", "host_port": "127.0.0.1:1"}')
    cluster: Any = SimpleNamespace(
        shared=SimpleNamespace(cluster_id=7),
        members=[SimpleNamespace(cluster_id=None)],
        store=SimpleNamespace(get=lambda key, revision: row),
    )
    journal = Journal()
    scribe = Scribe(journal, cluster, lambda endpoint: "n0", lambda node, name: False)

    def told(kind: str, *names: str) -> list[str]:
        before = len(of(journal, Told))
        put = tuple(PREFIX + name for name in names)
        scribe.heard(Record(1.0, 0, kind, 4, put, (), ("", 0), PREFIX, END))
        return [f"{one.server} {one.phase}" for one in of(journal, Told)[before:]]

    assert told("range", "s1", "s2") == ["s1 up", "s2 up"]
    assert told("count") == []
    assert told("range", "s1") == ["s1 up", "s2 gone"]
