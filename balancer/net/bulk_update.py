"""A first list of over `node.LARGE` servers: handed to pool and module in slices, a turn of the loop each.

What comes meanwhile waits: changes of the view here, in their order, all else in `Node`. Nobody is sent to
before the end, so no part of the list is ever taken for the whole; the changes that waited go ahead of the
requests that did, and what they take away gets none.
"""

from __future__ import annotations

import gc
import logging
from collections.abc import Iterator
from typing import TYPE_CHECKING

from balancer import interface as api
from balancer.core.discovery.endpoint_merger import ApplyEndpoints
from balancer.policy.bulk_update import BACKENDS_PER_STEP, apply_first_list

if TYPE_CHECKING:
    from balancer.net.request_dispatcher import RequestDispatcher

log = logging.getLogger(__name__)


class BulkUpdate:
    """One first list on its way into a node: `Node.laying` until it is there."""

    def __init__(self, node: RequestDispatcher, change: ApplyEndpoints) -> None:
        self.node, self.change = node, change
        self.deferred_changes: list[ApplyEndpoints] = []  # changes of the view that came behind it
        if change.kind is not api.EndpointUpdateKind.INCREMENTAL:
            node.event(api.EndpointsUpdated(change.kind, [], change.revision))
        self._steps = self._apply_in_slices()
        node.loop.call_soon(self._run_slice)

    def _run_slice(self) -> None:
        try:
            next(self._steps)
        except StopIteration:
            pass
        except Exception:  # guards the requests that wait, and the news behind, against a fault in a list
            log.exception("a list of %d servers was not laid out", len(self.change.records))
        else:
            self.node.loop.call_soon(self._run_slice)
            return
        finally:
            gc.freeze()  # guards the loop against collections that look through all that a list makes
        self.node.bulk_update_finished(
            api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [], self.change.revision)
        )

    def _apply_in_slices(self) -> Iterator[None]:
        node, change, balancer = self.node, self.change, self.node.balancer
        if balancer.index.order:  # another list was under way as this one came: it is no first one
            self.deferred_changes.insert(0, change)
            return
        node.update((), change.removed_records)
        endpoints = [record.endpoint for record in (*change.removed_records, *change.records)]
        yield
        for offset in range(0, len(change.records), BACKENDS_PER_STEP):
            node.update(change.records[offset : offset + BACKENDS_PER_STEP], ())
            yield
        balancer.state.now_ms = node.now()
        note_actions = yield from apply_first_list(balancer, endpoints)
        for offset in range(0, len(endpoints), BACKENDS_PER_STEP):
            event = api.EndpointsUpdated(
                api.EndpointUpdateKind.INCREMENTAL,
                endpoints[offset : offset + BACKENDS_PER_STEP],
                change.revision,
            )
            node.show(node.now(), event, note_actions if offset + BACKENDS_PER_STEP >= len(endpoints) else [])
            yield
