"""What the other nodes' words lead to on a running node: `core/cluster/gossip_coordinator`, fed and
carried out.

`Words` hands it the sections of each datagram, how the node stands each round, and what the merge applied.
What it says goes to the other nodes, the time line, the log, the merge and this node's discovery.

Drains and removals that are taken from peers are the word of one more source of the merge, the last, which
may drain and remove alone. It is there from the first such word on, until `[peers]` is switched off.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any

import balancer
from balancer.core import recovery as r
from balancer.core.cluster import gossip_coordinator as t
from balancer.core.cluster import gossiped_removals as hearsay
from balancer.core.cluster import quota_allocation as shares
from balancer.core.cluster.configuration_digest import (
    NODE_FIELDS,
    OPERATOR_NODE_FIELDS,
    configuration_digest,
)
from balancer.core.cluster.failure_detector import Peers
from balancer.core.cluster.node_state import PEERS
from balancer.core.cluster.report import together, words
from balancer.core.discovery import endpoint_merger as membership
from balancer.core.staggering import Turns
from balancer.interface import Phase
from balancer.net.component import Running
from balancer.net.discovery.platform import NAME as PLATFORM
from balancer.operator_settings import Operators
from balancer.protocol import gossip
from balancer.protocol import gossip_sections as goes_by

log = logging.getLogger(__name__)

BEARS = 50.0  # calls a second that discovery is taken to bear of nodes that are told of a newer list
EVERY_MS = 1_000.0  # between two looks at all servers
STATES = tuple(r.State)


class Words:
    """`write` sends sections to an address."""

    def __init__(
        self, running: Running, peers: Peers, write: Callable[[str, t.Sections], None], counts: Counter[str]
    ) -> None:
        self.running, self.node, self.fleet, self.counts = running, running.node, running.fleet, counts
        told = self.node.settings
        self.decider = t.Together(
            peers,
            told.node_index,
            told.node_count,
            None,
            Turns(told.node_index, told.node_count, BEARS),
            Random(),
            goes_by,
            gossip.room(running.name, gossip.Told(goes_by.KIND, 0, "", "", ())),
            () if told.must_poll else (PLATFORM,),  # where lists are pushed each node has an agent of its own
        )
        self.nodes: shares.Nodes | None = None  # nothing is divided by it yet
        self._write = write
        self._files = configuration_digest(told, NODE_FIELDS), 0
        self._servers: dict[str, tuple[int, int]] = {}
        self._looked_ms = float("-inf")
        self.decider.halves.apply(tuple(self.fleet.membership.view.values()), ())
        self.fleet.listeners.append(self._heard)

    def set(self, settings: Operators) -> None:
        """The operators' file says this from now on."""
        self._files = self._files[0], configuration_digest(settings, OPERATOR_NODE_FIELDS)

    def at(self, peers: Peers) -> None:
        """Go on at another address, as whoever speaks there."""
        self.decider.peers = peers

    def close(self, lift: bool) -> None:
        """Hear no more. `lift`: what peers said holds no longer, else it stays and may be remembered."""
        if self._heard in self.fleet.listeners:
            self.fleet.listeners.remove(self._heard)
        self.tell(shares.Leaving())
        if lift:
            self._configure(False)

    def tell(self, event: t.Event) -> None:
        """Something happened that bears on it."""
        try:
            actions = self.decider.handle(self.node.now(), event)
        except Exception:  # guards who is there, and requests, against one event
            log.exception("peers: %s failed", type(event).__name__)
            return
        for action in actions:
            self._act(action)

    def round(self) -> None:
        """How the node stands."""
        meter, merge = self.running.recovery, self.fleet.membership
        state = 0 if meter is None else STATES.index(meter.recovery.state)
        version, zone, sources = balancer.__version__, self.node.settings.zone, list(merge.sources.values())
        self.tell(t.Round(state, self._files, version, zone, sources, merge.view, self._silent()))

    def _silent(self) -> Mapping[str, tuple[int, int]]:
        """By zone, how many servers are up, and how many of them the module leaves alone, as they failed."""
        if (now := self.node.now()) - self._looked_ms >= EVERY_MS:
            self._looked_ms, counts = now, Counter[tuple[str, bool]]()
            for one in self.node.balancer.backends.values():
                if one.entry.phase is Phase.UP:
                    counts[one.entry.zone, one.until > now] += 1
            self._servers = {z: (counts[z, True] + counts[z, False], counts[z, True]) for z, _ in counts}
        return self._servers

    def _heard(self, event: membership.Event, actions: Sequence[membership.Action]) -> None:
        """The merge changed: by a source's word, or by none where it is set anew or goes on with a list."""
        source = None
        if not isinstance(event, (membership.Configured, membership.Continued)):
            source = self.fleet.membership.sources.get(event.source)
        for action in actions:
            if isinstance(action, membership.Apply):
                self.decider.on_source_applied(self.node.now(), source or hearsay.source(), action)

    # --- what was decided

    def _act(self, action: t.Action) -> None:
        match action:
            case t.Send():
                self._write(action.to, action.sections)
            case t.Happened():
                self._happened(action)
            case t.Say():
                log.info("peers: %s", words(action.text))
            case membership.Listed():
                self._configure(True)
                self.fleet.hand(action)
            case hearsay.Renew():
                self._configure(False)
            case hearsay.Ask():
                self._ask(action)
            case shares.Nodes():
                self.nodes = action

    def _happened(self, action: t.Happened) -> None:
        self.counts[f"peer {action.what}"] += 1
        of = words(action.of)
        log.warning("peers: %s: %s: %s", action.what, of, words(action.why))
        evidence: dict[str, object] = {"why": action.why}
        if action.names:
            evidence["names"] = ", ".join(action.names)
        self.running.tell(action.what, "node", of, "peers", evidence)

    def _configure(self, on: bool) -> None:
        """Have the merge hear peers behind all others, or not at all."""
        sources = self.fleet.membership.sources
        if (PEERS in sources) is not on:
            others = [source for name, source in sources.items() if name != PEERS]
            self.fleet.hand(membership.Configured((*others, *([hearsay.source()] if on else []))))

    def _ask(self, action: hearsay.Ask) -> None:
        """For its whole list, as the module would. etcd's watch cannot be asked for more than it tells."""
        if action.source == PLATFORM and self.node.discovery is not None:
            log.info("peers: others have seen revision %d of %s: it is asked", action.revision, PLATFORM)
            self.node.discovery.fetch()

    # --- what operators ask

    def figures(self) -> dict[str, dict[str, float]]:
        """For the metrics: what is so now, by kind."""
        decider = self.decider
        taken = decider.hearsay.taken.values()
        return {
            "cuts": dict(Counter(of.value for of, _ in decider.cuts.cut)),
            "disagreements": dict(Counter(what for what, _ in decider.views.steady.on)),
            "taken": dict(Counter("gone" if out.gone else "drains" for out in taken)),
        }

    def report(self) -> dict[str, Any]:
        """What of `peers` is by the others' words."""
        return together(self.decider, self.nodes)
