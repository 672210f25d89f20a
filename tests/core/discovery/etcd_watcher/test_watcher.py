"""Tests of the etcd watcher: every event in every phase, token renewal and denied access."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from balancer.core.discovery import endpoint_merger
from balancer.core.discovery.etcd_watcher import messages
from balancer.core.discovery.etcd_watcher.messages import CallFault, Position
from balancer.core.discovery.etcd_watcher.state import WatcherPhase, WatcherState
from tests.core.discovery.etcd_watcher.driver import (
    A,
    B,
    WatcherDriver,
    driver_in_phase,
)

POSITION = Position("1", 9, 2)
EVENTS: dict[str, Callable[[WatcherState], messages.Event]] = {
    "started": lambda state: messages.WatcherStarted(),
    "stopped": lambda state: messages.WatcherStopped(),
    "timer": lambda state: messages.TimerFired(state.phase_token or state.session.check_token),
    "unknown timer": lambda state: messages.TimerFired(-1),
    "check": lambda state: messages.CheckAnswered(state.session.check_call_id or -1, POSITION),
    "page": lambda state: messages.SnapshotPageReceived(
        state.snapshot.call_id or -1, POSITION, (A,), b"a", False
    ),
    "watch created": lambda state: messages.WatchCreated(state.watch.call_id or -1, POSITION),
    "watch events": lambda state: messages.WatchEventsReceived(
        state.watch.call_id or -1, POSITION, (messages.WatchEvent(9, B),)
    ),
    "progress": lambda state: messages.WatchProgressed(state.watch.call_id or -1, POSITION),
    "canceled": lambda state: messages.WatchCanceled(state.watch.call_id or -1, 0, CallFault.FAILED, "x"),
    "compacted": lambda state: messages.WatchCanceled(state.watch.call_id or -1, 9, CallFault.FAILED, "x"),
    "check failed": lambda state: messages.CallFailed(
        state.session.check_call_id or -1, CallFault.FAILED, "x"
    ),
    "page failed": lambda state: messages.CallFailed(state.snapshot.call_id or -1, CallFault.FAILED, "x"),
    "page compacted": lambda state: messages.CallFailed(
        state.snapshot.call_id or -1, CallFault.COMPACTED, "x"
    ),
    "watch failed": lambda state: messages.CallFailed(state.watch.call_id or -1, CallFault.FAILED, "x"),
}
# The next phase and the actions for each event that has an effect. `CloseConnections` refers to the abandoned
# endpoint, `CheckEndpoint` to the next one.
ABANDONED_WITH_LOG = (WatcherPhase.CHECKING, "WriteLog CloseConnections CheckEndpoint SetTimer")
ABANDONED = (WatcherPhase.CHECKING, "CloseConnections CheckEndpoint SetTimer")
WATCH_CLOSED_AND_ABANDONED = (
    WatcherPhase.CHECKING,
    "CloseWatch WriteLog CloseConnections CheckEndpoint SetTimer",
)
STOPPED = (WatcherPhase.STOPPED, "CloseConnections")
TABLE: dict[tuple[WatcherPhase, str], tuple[WatcherPhase, str]] = {
    (WatcherPhase.STOPPED, "started"): (WatcherPhase.CHECKING, "CheckEndpoint SetTimer"),
    (WatcherPhase.CHECKING, "timer"): ABANDONED,
    (WatcherPhase.CHECKING, "check"): (WatcherPhase.FETCHING_SNAPSHOT, "FetchSnapshotPage SetTimer"),
    (WatcherPhase.CHECKING, "check failed"): ABANDONED,
    (WatcherPhase.FETCHING_SNAPSHOT, "timer"): ABANDONED_WITH_LOG,
    (WatcherPhase.FETCHING_SNAPSHOT, "page"): (
        WatcherPhase.OPENING_WATCH,
        "DeliverUpdate OpenWatch SetTimer",
    ),
    (WatcherPhase.FETCHING_SNAPSHOT, "page failed"): ABANDONED_WITH_LOG,
    (WatcherPhase.FETCHING_SNAPSHOT, "page compacted"): (
        WatcherPhase.FETCHING_SNAPSHOT,
        "FetchSnapshotPage SetTimer",
    ),
    (WatcherPhase.OPENING_WATCH, "timer"): ABANDONED_WITH_LOG,
    (WatcherPhase.OPENING_WATCH, "watch created"): (WatcherPhase.WATCHING, "SetTimer"),
    (WatcherPhase.OPENING_WATCH, "watch events"): ABANDONED_WITH_LOG,
    (WatcherPhase.OPENING_WATCH, "progress"): ABANDONED_WITH_LOG,
    (WatcherPhase.OPENING_WATCH, "canceled"): WATCH_CLOSED_AND_ABANDONED,
    (WatcherPhase.OPENING_WATCH, "compacted"): (
        WatcherPhase.FETCHING_SNAPSHOT,
        "CloseWatch FetchSnapshotPage SetTimer",
    ),
    (WatcherPhase.OPENING_WATCH, "watch failed"): WATCH_CLOSED_AND_ABANDONED,
    (WatcherPhase.WATCHING, "timer"): (WatcherPhase.WATCHING, "CheckEndpoint SetTimer"),
    (WatcherPhase.WATCHING, "watch events"): (WatcherPhase.WATCHING, "DeliverUpdate"),
    (WatcherPhase.WATCHING, "progress"): (WatcherPhase.WATCHING, "DeliverUpdate"),
    (WatcherPhase.WATCHING, "canceled"): WATCH_CLOSED_AND_ABANDONED,
    (WatcherPhase.WATCHING, "compacted"): (
        WatcherPhase.FETCHING_SNAPSHOT,
        "CloseWatch FetchSnapshotPage SetTimer",
    ),
    (WatcherPhase.WATCHING, "watch failed"): WATCH_CLOSED_AND_ABANDONED,
    (WatcherPhase.WAITING, "timer"): (WatcherPhase.CHECKING, "CheckEndpoint SetTimer"),
    (WatcherPhase.WAITING, "stopped"): (WatcherPhase.STOPPED, ""),
    (WatcherPhase.CHECKING, "stopped"): STOPPED,
    (WatcherPhase.FETCHING_SNAPSHOT, "stopped"): STOPPED,
    (WatcherPhase.OPENING_WATCH, "stopped"): STOPPED,
    (WatcherPhase.WATCHING, "stopped"): STOPPED,
}


@pytest.mark.parametrize("phase", WatcherPhase)
@pytest.mark.parametrize("name", EVENTS)
def test_watcher_every_event_in_every_phase_leads_to_the_table_entry(phase: WatcherPhase, name: str) -> None:
    driver = driver_in_phase(phase)
    actions = driver.send(EVENTS[name](driver.state))
    expected = TABLE.get((phase, name), (phase, ""))
    assert (driver.state.phase, " ".join(type(action).__name__ for action in actions)) == expected


def test_watcher_repr_names_phase_endpoint_and_revision() -> None:
    assert repr(WatcherDriver().watcher) == "<EtcdWatcher etcd idle None/0 at 0>"
    driver = WatcherDriver(1, endpoint_names=["http://e:1"], epoch=3).start_watching(5, A)
    assert repr(driver.watcher) == "<EtcdWatcher etcd watching http://e:1 1/3 at 5>"


def test_watcher_expired_token_is_renewed_once() -> None:
    driver = WatcherDriver()
    driver.send(messages.WatcherStarted())
    driver.fail(messages.CheckEndpoint, CallFault.TOKEN_EXPIRED)
    assert driver.is_in(WatcherPhase.CHECKING)
    assert len(driver.calls) == 2
    driver.fail(messages.CheckEndpoint, CallFault.TOKEN_EXPIRED)
    assert driver.is_in(WatcherPhase.WAITING)
    assert isinstance(driver.updates[-1], endpoint_merger.SourceRejected)
    driver.fire_next_timer()
    driver.answer_check(5)
    driver.fail(messages.FetchSnapshotPage, CallFault.TOKEN_EXPIRED)
    driver.answer_page(5, A)
    driver.confirm_watch(5)
    driver.fire_next_timer()
    driver.answer_check(5)
    driver.cancel_watch(0, CallFault.TOKEN_EXPIRED)
    assert driver.is_in(WatcherPhase.OPENING_WATCH)
    assert driver.watch_start_revision == 5


def test_source_permission_denied_by_all_endpoints_is_rejected() -> None:
    driver = WatcherDriver(2)
    driver.send(messages.WatcherStarted())
    driver.fail(messages.CheckEndpoint, CallFault.PERMISSION_DENIED)
    driver.fail(messages.CheckEndpoint, CallFault.FAILED)
    assert isinstance(driver.updates[-1], endpoint_merger.SourceLost)
    driver.fire_next_timer()
    driver.fail(messages.CheckEndpoint, CallFault.PERMISSION_DENIED)
    driver.fail(messages.CheckEndpoint, CallFault.PERMISSION_DENIED)
    assert isinstance(driver.updates[-1], endpoint_merger.SourceRejected)
    assert "all endpoints deny access" in driver.updates[-1].reason
