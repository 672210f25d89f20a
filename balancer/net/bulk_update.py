"""Applies a large first endpoint list to the pool and the request policy, one slice per event loop turn.

Everything that arrives in the meantime is deferred: changes of the view here, in order, and all other events
in the node. No request is sent before the list is complete, so that a part is never mistaken for the whole.
Deferred changes are applied before deferred requests, so backends that they remove receive none.
"""

from __future__ import annotations

import asyncio
import gc
import logging
from collections.abc import Iterator, Sequence
from typing import Protocol

from balancer import interface as api
from balancer.core.discovery.endpoint_merger import ApplyEndpoints
from balancer.endpoints import EndpointRecord
from balancer.policy.balancer import Balancer
from balancer.policy.bulk_update import BACKENDS_PER_STEP, apply_first_list

log = logging.getLogger(__name__)


class BulkUpdateTarget(Protocol):
    """What a bulk update requires of the node whose policy and pool it fills."""

    @property
    def balancer(self) -> Balancer:
        """The request policy."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop that the node runs on."""

    def now(self) -> float:
        """Return a monotonic time in milliseconds."""

    def event(self, event: api.Event, /) -> None:
        """Pass an event to the request policy."""

    def update_pool(
        self, records: Sequence[EndpointRecord], removed_records: Sequence[EndpointRecord], /
    ) -> None:
        """Update the connection pool."""

    def notify_observer(self, now_ms: float, event: api.Event, actions: list[api.Action], /) -> None:
        """Pass a decision to the observer."""

    def bulk_update_finished(self, event: api.EndpointsUpdated, /) -> None:
        """Pass this last event to the request policy and resume everything that was deferred."""


class BulkUpdate:
    """One large first list that is being applied to a node."""

    def __init__(self, node: BulkUpdateTarget, change: ApplyEndpoints) -> None:
        self.node, self.change = node, change
        self.deferred_changes: list[ApplyEndpoints] = []  # later changes of the view
        if change.kind is not api.EndpointUpdateKind.INCREMENTAL:
            node.event(api.EndpointsUpdated(change.kind, [], change.revision))
        self._steps = self._apply_in_slices()
        node.loop.call_soon(self._run_slice)

    def _run_slice(self) -> None:
        try:
            next(self._steps)
        except StopIteration:
            pass
        except Exception:  # a faulty list must not discard deferred requests and changes
            log.exception(
                "bulk update: failed: a list of %d endpoints was not applied completely",
                len(self.change.records),
            )
        else:
            self.node.loop.call_soon(self._run_slice)
            return
        finally:
            gc.freeze()  # exempts the objects of the list from later garbage collections
        self.node.bulk_update_finished(self._incremental([]))

    def _apply_in_slices(self) -> Iterator[None]:
        node, change, balancer = self.node, self.change, self.node.balancer
        if balancer.index.order:  # another list was applied earlier, so this is not the first one
            self.deferred_changes.insert(0, change)
            return
        node.update_pool((), change.removed_records)
        endpoints = [record.endpoint for record in (*change.removed_records, *change.records)]
        yield
        for start in range(0, len(change.records), BACKENDS_PER_STEP):
            node.update_pool(change.records[start : start + BACKENDS_PER_STEP], ())
            yield
        balancer.state.now_ms = node.now()
        decision_notes = yield from apply_first_list(balancer, endpoints)
        for start in range(0, len(endpoints), BACKENDS_PER_STEP):
            slice_end = start + BACKENDS_PER_STEP
            event = self._incremental(endpoints[start:slice_end])
            node.notify_observer(node.now(), event, decision_notes if slice_end >= len(endpoints) else [])
            yield

    def _incremental(self, endpoints: list[api.Endpoint]) -> api.EndpointsUpdated:
        kind = api.EndpointUpdateKind.INCREMENTAL
        return api.EndpointsUpdated(kind, endpoints, self.change.revision)
