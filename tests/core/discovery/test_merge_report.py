"""Tests of the operators' report of the merge."""

from __future__ import annotations

from balancer.core.discovery import merge_report
from tests.core.discovery.merger_harness import (
    DRAINING,
    MergerHarness,
    make_incremental,
    make_record,
    make_snapshot,
)


def test_report_shows_what_each_source_lists() -> None:
    harness = MergerHarness()
    harness.list_endpoints(
        "platform", make_snapshot(4, make_record("a", port=7), make_record("b", port=7, started_at_ms=3.0))
    )
    harness.list_endpoints(
        "etcd", make_snapshot(9, make_record("a", DRAINING, port=7), make_record("c")), "77/0"
    )
    harness.list_endpoints("etcd", make_incremental(10, removed_ids=("c",)), "77/0")
    report = merge_report.build_report(harness.merger)
    rows = {row["id"]: (row["phase"], row["sources"]) for row in report["members"]}
    assert rows["a"] == ("draining", {"platform": "up", "etcd": "draining"})
    assert rows["b"] == ("up", {"platform": "up"})
    assert [s["revision"] for s in report["sources"]] == [4, 10]
    assert "c" not in rows  # no source lists it
