"""Tests of the restoration: outcomes, ages, wall clock jumps, and invalid rows."""

from __future__ import annotations

from typing import Any

import msgspec

from balancer.core.persistence.persisted_state import (
    BackendEjection,
    BackendSlowness,
    ConcurrencyLimit,
    ExpectedLatency,
    NodeIdentity,
    PersistedRow,
    SourcePosition,
    Withdrawal,
)
from balancer.core.persistence.restoration import (
    MAX_RESTORED_EJECTION_MS,
    RestoredState,
    RestoreOutcome,
    next_identity,
    restore,
)
from tests.core.persistence.stored_rows import DAY_MS, IDENTITY, NOW_MS, encoded_tables, endpoint_row


def restored(
    rows: dict[tuple[str, str], PersistedRow], now_ms: int = NOW_MS, **overrides: Any
) -> RestoredState:
    arguments: dict[str, Any] = {
        "generation": 2,
        "is_outdated": False,
        "committed_at_ms": NOW_MS,
        "node_name": "n0",
        "max_age_ms": DAY_MS,
    }
    arguments |= overrides
    return restore(encoded_tables({("self", "node"): IDENTITY} | rows), now_ms=now_ms, **arguments)


def test_restore_with_generation_and_owner_sets_the_outcome() -> None:
    assert restore({}, 0, False, 0, "n0", NOW_MS, 1).outcome == "none"
    assert restore({}, 0, True, 0, "n0", NOW_MS, 1).outcome == "lost"
    assert restored({}).outcome == "kept" and restored({}, is_outdated=True).outcome == "older"
    assert (
        restore(
            encoded_tables({("view", "a"): endpoint_row()}), 1, False, NOW_MS, "n0", NOW_MS, DAY_MS
        ).outcome
        == "lost"
    )
    foreign = restored({("view", "a"): endpoint_row()}, node_name="n1")
    assert (
        foreign.is_foreign
        and foreign.outcome == "lost"
        and not foreign.endpoints
        and "'n0'" in foreign.messages[0]
    )


def test_restore_with_withdrawal_applies_the_row_with_the_higher_sequence_number() -> None:
    rows: dict[tuple[str, str], PersistedRow] = {("view", n): endpoint_row(sequence_number=5) for n in "abcd"}
    rows |= {
        ("ends", "a"): Withdrawal(True, "p", 1, NOW_MS, 6),
        ("ends", "b"): Withdrawal(True, "p", 1, NOW_MS, 4),
    }
    rows |= {("ends", "c"): Withdrawal(False, "p", 1, NOW_MS, 6)}
    result = restored(rows)
    assert {n: r.endpoint.is_draining for n, r in result.endpoints.items()} == {
        "b": False,
        "c": True,
        "d": False,
    }
    assert result.last_sequence_number == 6


def test_restore_with_a_clock_a_day_off_clamps_ages_and_reports_it() -> None:
    rows: dict[tuple[str, str], PersistedRow] = {
        ("view", "a"): endpoint_row(),
        ("ejections", "a"): BackendEjection(NOW_MS + 5_000, 1, NOW_MS),
        ("limit", "node"): ConcurrencyLimit(9, NOW_MS),
    }
    clock_behind = restored(rows, NOW_MS - DAY_MS)
    assert (
        clock_behind.endpoints["a"].age_ms == 0
        and clock_behind.clock_behind_ms == DAY_MS
        and "86400 s behind" in clock_behind.messages[0]
    )
    assert clock_behind.ejection_left_ms == {"a": 5_000} and clock_behind.concurrency_limit is not None
    clock_ahead = restored(rows, NOW_MS + DAY_MS + 1)
    assert (
        not clock_ahead.endpoints
        and not clock_ahead.ejection_left_ms
        and clock_ahead.concurrency_limit is None
    )
    assert "1 servers were last confirmed over" in clock_ahead.messages[0]
    future_row = restored({("view", "a"): endpoint_row()}, NOW_MS, committed_at_ms=NOW_MS - 100)
    assert future_row.endpoints["a"].age_ms == 100 and "after the last write" in future_row.messages[0]
    long_ejection = restored({("ejections", "a"): BackendEjection(NOW_MS + DAY_MS, 1, NOW_MS - 1)})
    assert long_ejection.ejection_left_ms == {"a": MAX_RESTORED_EJECTION_MS}


def test_restore_counts_the_endpoint_age_from_the_latest_confirmation_of_its_sources() -> None:
    old_endpoint = msgspec.structs.replace(endpoint_row(), confirmed_at_ms=NOW_MS - 2 * DAY_MS)
    source_rows: dict[tuple[str, str], PersistedRow] = {
        ("sources", "platform"): SourcePosition("x", 1, NOW_MS - 7)
    }
    assert not restored({("view", "a"): old_endpoint}).endpoints
    assert restored({("view", "a"): old_endpoint} | source_rows).endpoints["a"].age_ms == 7


def test_restore_with_invalid_rows_drops_only_those() -> None:
    valid_row = endpoint_row(weight=2.0)
    rows = encoded_tables(
        {
            ("self", "node"): IDENTITY,
            ("view", "good"): valid_row,
            ("usual", "c"): ExpectedLatency(1, 1, NOW_MS),
        }
    )
    for n, bad in enumerate([b"", b"\xc1", b"\x90", msgspec.msgpack.encode(["h", 0]), b"\x93\xa1h\x01\x01"]):
        rows["view"][f"bad{n}"] = bad
    rows["weights"] = {"a": msgspec.msgpack.encode([float("nan"), NOW_MS])}
    result = restore(rows, 1, False, NOW_MS, "n0", NOW_MS, DAY_MS)
    assert (
        set(result.endpoints) == {"good"}
        and result.endpoints["good"].endpoint == valid_row
        and not result.slowness
    )
    assert len(result.messages) == 6 and result.expected_latencies["c"].expected_latency_ms == 1


def test_next_identity_always_raises_the_incarnation() -> None:
    assert next_identity(restored({}), "n0", "new", 3, NOW_MS) == NodeIdentity("id-1", "n0", 4, 0)
    assert next_identity(restored({}), "n0", "new", 9, NOW_MS).incarnation == 9
    assert next_identity(RestoredState(RestoreOutcome.LOST), "n0", "new", 7, NOW_MS) == NodeIdentity(
        "new", "n0", 7, NOW_MS
    )


def test_restore_with_backend_slowness_restores_it() -> None:
    assert restored({("weights", "a"): BackendSlowness(1.5, NOW_MS)}).slowness["a"].slowness == 1.5
