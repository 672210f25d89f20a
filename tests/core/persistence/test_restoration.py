"""What a start restores: outcomes, ages, clocks that jump, and invalid rows."""

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


def restored(rows: dict[tuple[str, str], PersistedRow], now: int = NOW_MS, **more: Any) -> RestoredState:
    told: dict[str, Any] = {
        "generation": 2,
        "is_outdated": False,
        "committed_at_ms": NOW_MS,
        "node_name": "n0",
        "max_age_ms": DAY_MS,
    }
    told |= more
    return restore(encoded_tables({("self", "node"): IDENTITY} | rows), now_ms=now, **told)


def test_restore_by_generations_and_owner_sets_outcome() -> None:
    assert restore({}, 0, False, 0, "n0", NOW_MS, 1).outcome == "none"
    assert restore({}, 0, True, 0, "n0", NOW_MS, 1).outcome == "lost"
    assert restored({}).outcome == "kept" and restored({}, is_outdated=True).outcome == "older"
    assert (
        restore(
            encoded_tables({("view", "a"): endpoint_row()}), 1, False, NOW_MS, "n0", NOW_MS, DAY_MS
        ).outcome
        == "lost"
    )
    other = restored({("view", "a"): endpoint_row()}, node_name="n1")
    assert (
        other.is_foreign and other.outcome == "lost" and not other.endpoints and "'n0'" in other.messages[0]
    )


def test_restore_with_withdrawal_applies_the_row_with_the_higher_sequence_number() -> None:
    rows: dict[tuple[str, str], PersistedRow] = {("view", n): endpoint_row(sequence_number=5) for n in "abcd"}
    rows |= {
        ("ends", "a"): Withdrawal(True, "p", 1, NOW_MS, 6),
        ("ends", "b"): Withdrawal(True, "p", 1, NOW_MS, 4),
    }
    rows |= {("ends", "c"): Withdrawal(False, "p", 1, NOW_MS, 6)}
    found = restored(rows)
    assert {n: r.endpoint.is_draining for n, r in found.endpoints.items()} == {
        "b": False,
        "c": True,
        "d": False,
    }
    assert found.last_sequence_number == 6


def test_restore_with_clock_a_day_off_clamps_ages_and_reports_it() -> None:
    rows: dict[tuple[str, str], PersistedRow] = {
        ("view", "a"): endpoint_row(),
        ("ejections", "a"): BackendEjection(NOW_MS + 5_000, 1, NOW_MS),
        ("limit", "node"): ConcurrencyLimit(9, NOW_MS),
    }
    back = restored(rows, NOW_MS - DAY_MS)
    assert (
        back.endpoints["a"].age_ms == 0
        and back.clock_behind_ms == DAY_MS
        and "86400 s behind" in back.messages[0]
    )
    assert back.ejection_left_ms == {"a": 5_000} and back.concurrency_limit is not None
    ahead = restored(rows, NOW_MS + DAY_MS + 1)
    assert not ahead.endpoints and not ahead.ejection_left_ms and ahead.concurrency_limit is None
    assert "1 servers were last confirmed over" in ahead.messages[0]
    odd = restored({("view", "a"): endpoint_row()}, NOW_MS, committed_at_ms=NOW_MS - 100)
    assert odd.endpoints["a"].age_ms == 100 and "after the last write" in odd.messages[0]
    long = restored({("ejections", "a"): BackendEjection(NOW_MS + DAY_MS, 1, NOW_MS - 1)})
    assert long.ejection_left_ms == {"a": MAX_RESTORED_EJECTION_MS}


def test_restore_takes_endpoint_age_from_its_latest_confirmed_source() -> None:
    old = msgspec.structs.replace(endpoint_row(), confirmed_at_ms=NOW_MS - 2 * DAY_MS)
    spoke: dict[tuple[str, str], PersistedRow] = {("sources", "platform"): SourcePosition("x", 1, NOW_MS - 7)}
    assert not restored({("view", "a"): old}).endpoints
    assert restored({("view", "a"): old} | spoke).endpoints["a"].age_ms == 7


def test_restore_with_invalid_row_drops_that_row_alone() -> None:
    good = endpoint_row(weight=2.0)
    rows = encoded_tables(
        {("self", "node"): IDENTITY, ("view", "good"): good, ("usual", "c"): ExpectedLatency(1, 1, NOW_MS)}
    )
    for n, bad in enumerate([b"", b"\xc1", b"\x90", msgspec.msgpack.encode(["h", 0]), b"\x93\xa1h\x01\x01"]):
        rows["view"][f"bad{n}"] = bad
    rows["weights"] = {"a": msgspec.msgpack.encode([float("nan"), NOW_MS])}
    found = restore(rows, 1, False, NOW_MS, "n0", NOW_MS, DAY_MS)
    assert (
        set(found.endpoints) == {"good"} and found.endpoints["good"].endpoint == good and not found.slowness
    )
    assert len(found.messages) == 6 and found.expected_latencies["c"].expected_latency_ms == 1


def test_next_identity_always_raises_the_incarnation() -> None:
    assert next_identity(restored({}), "n0", "new", 3, NOW_MS) == NodeIdentity("id-1", "n0", 4, 0)
    assert next_identity(restored({}), "n0", "new", 9, NOW_MS).incarnation == 9
    assert next_identity(RestoredState(RestoreOutcome.LOST), "n0", "new", 7, NOW_MS) == NodeIdentity(
        "new", "n0", 7, NOW_MS
    )


def test_restore_reads_backend_slowness() -> None:
    assert restored({("weights", "a"): BackendSlowness(1.5, NOW_MS)}).slowness["a"].slowness == 1.5
