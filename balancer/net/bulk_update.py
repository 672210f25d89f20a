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
from balancer.core.discovery.endpoint_merger import Apply
from balancer.policy.bulk_update import SLICE, lay

if TYPE_CHECKING:
    from balancer.net.request_dispatcher import Node

log = logging.getLogger(__name__)


class Laying:
    """One first list on its way into a node: `Node.laying` until it is there."""

    def __init__(self, node: Node, change: Apply) -> None:
        self.node, self.change = node, change
        self.later: list[Apply] = []  # changes of the view that came behind it
        if change.kind is not api.EndpointUpdateKind.INCREMENTAL:
            node.event(api.EndpointsUpdated(change.kind, [], change.revision))
        self._steps = self._run()
        node.loop.call_soon(self._step)

    def _step(self) -> None:
        try:
            next(self._steps)
        except StopIteration:
            pass
        except Exception:  # guards the requests that wait, and the news behind, against a fault in a list
            log.exception("a list of %d servers was not laid out", len(self.change.members))
        else:
            self.node.loop.call_soon(self._step)
            return
        finally:
            gc.freeze()  # guards the loop against collections that look through all that a list makes
        self.node.laid(api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [], self.change.revision))

    def _run(self) -> Iterator[None]:
        node, change, balancer = self.node, self.change, self.node.balancer
        if balancer.index.order:  # another list was under way as this one came: it is no first one
            self.later.insert(0, change)
            return
        node.update((), change.removed)
        entries = [m.endpoint for m in (*change.removed, *change.members)]
        yield
        for at in range(0, len(change.members), SLICE):
            node.update(change.members[at : at + SLICE], ())
            yield
        balancer.now = node.now()
        noted = yield from lay(balancer, entries)
        for at in range(0, len(entries), SLICE):
            part = api.EndpointsUpdated(
                api.EndpointUpdateKind.INCREMENTAL, entries[at : at + SLICE], change.revision
            )
            node.show(node.now(), part, noted if at + SLICE >= len(entries) else [])
            yield
