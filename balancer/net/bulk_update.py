"""Applies a large first endpoint list to the pool and the request policy in slices, a turn of the loop each.

Whatever comes meanwhile waits: changes of the view here, in their order, all else in the node. No request is
sent before the end, so that no part of the list is ever taken for the whole. The changes that waited go ahead
of the requests that did, and backends that they remove get none.
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
    """What a bulk update needs of the node whose policy and pool it fills."""

    @property
    def balancer(self) -> Balancer:
        """The request policy."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop that the node runs on."""

    def now(self) -> float:
        """Milliseconds; never goes back."""

    def event(self, event: api.Event, /) -> None:
        """Hand an event to the request policy."""

    def update(self, records: Sequence[EndpointRecord], removed_records: Sequence[EndpointRecord], /) -> None:
        """Update the connection pool."""

    def show(self, now_ms: float, event: api.Event, actions: list[api.Action], /) -> None:
        """Show the observer a decision."""

    def bulk_update_finished(self, event: api.EndpointsUpdated, /) -> None:
        """Hand this last event to the request policy and go on with all that waited."""


class BulkUpdate:
    """One large first list on its way into a node."""

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
        except Exception:  # the requests and changes that wait must not be lost with a faulty list
            log.exception("a list of %d servers was not laid out", len(self.change.records))
        else:
            self.node.loop.call_soon(self._run_slice)
            return
        finally:
            gc.freeze()  # spares the loop collections that look through all objects of the list
        self.node.bulk_update_finished(self._incremental([]))

    def _apply_in_slices(self) -> Iterator[None]:
        node, change, balancer = self.node, self.change, self.node.balancer
        if balancer.index.order:  # another list was applied before this one: it is no first one
            self.deferred_changes.insert(0, change)
            return
        node.update((), change.removed_records)
        endpoints = [record.endpoint for record in (*change.removed_records, *change.records)]
        yield
        for start in range(0, len(change.records), BACKENDS_PER_STEP):
            node.update(change.records[start : start + BACKENDS_PER_STEP], ())
            yield
        balancer.state.now_ms = node.now()
        note_actions = yield from apply_first_list(balancer, endpoints)
        for start in range(0, len(endpoints), BACKENDS_PER_STEP):
            end = start + BACKENDS_PER_STEP
            event = self._incremental(endpoints[start:end])
            node.show(node.now(), event, note_actions if end >= len(endpoints) else [])
            yield

    def _incremental(self, endpoints: list[api.Endpoint]) -> api.EndpointsUpdated:
        kind = api.EndpointUpdateKind.INCREMENTAL
        return api.EndpointsUpdated(kind, endpoints, self.change.revision)
