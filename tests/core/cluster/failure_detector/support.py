"""Helpers for the failure detector tests: creates a detector, delivers datagrams and fires timers."""

from __future__ import annotations

from random import Random

from hypothesis import strategies as st

from balancer.core.cluster.failure_detector import events
from balancer.core.cluster.failure_detector.detector import FailureDetector
from balancer.core.cluster.failure_detector.events import (
    DatagramReceived,
    NotifyPeerChange,
    SetTimer,
    TimerFired,
)
from balancer.core.cluster.failure_detector.member_records import MemberRecord
from balancer.core.cluster.failure_detector.messages import Message, MessageKind
from balancer.protocol import gossip

A, B, C, D = (f"10.0.0.{number}:7946" for number in (1, 2, 3, 4))
RECORDS = st.builds(
    MemberRecord,
    st.just("b"),
    st.integers(0, 3),
    st.integers(1, 3),
    st.sampled_from([B, C]),
    st.integers(0, 2),
)
EMPTY_MESSAGE = Message(MessageKind.NACK, 0, "", "", ())


def detector_of(
    persisted_incarnation: int | None = 0, *seeds: str, name: str = "a", address: str = A
) -> FailureDetector:
    return FailureDetector(
        name,
        address,
        seeds,
        persisted_incarnation,
        Random(1),
        gossip.record_size_bytes,
        gossip.record_space_bytes,
    )


def receive(
    detector: FailureDetector,
    now_ms: float,
    sender: str,
    source: str,
    *records: MemberRecord,
    incarnation: int = 1,
) -> list[events.Action]:
    return detector.handle(
        now_ms, DatagramReceived(sender, incarnation, source, EMPTY_MESSAGE._replace(records=records))
    )


def run_timers(detector: FailureDetector, start_ms: float, end_ms: float) -> list[events.Action]:
    """Fires each timer that the detector sets; returns all actions."""
    all_actions, now_ms = [], start_ms
    while now_ms <= end_ms:
        actions = detector.handle(now_ms, TimerFired())
        all_actions += actions
        now_ms = max(now_ms + 0.001, next(a.at_ms for a in reversed(actions) if isinstance(a, SetTimer)))
    return all_actions


def changes(actions: list[events.Action]) -> list[tuple[str, str]]:
    return [(action.change, action.name) for action in actions if isinstance(action, NotifyPeerChange)]
