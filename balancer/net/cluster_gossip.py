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
from balancer.core.cluster.failure_detector.detector import FailureDetector
from balancer.core.cluster.node_state import GOSSIP_SOURCE_NAME
from balancer.core.cluster.report import gossip_report, printable
from balancer.core.discovery import endpoint_merger as membership
from balancer.core.staggering import StaggeredSchedule
from balancer.interface import Phase
from balancer.net.component import RunningNode
from balancer.net.discovery.platform import SOURCE_NAME as PLATFORM
from balancer.operator_settings import OperatorSettings
from balancer.protocol import gossip
from balancer.protocol import gossip_sections as goes_by

log = logging.getLogger(__name__)

MAX_DISCOVERY_FETCHES_PER_S = (
    50.0  # calls a second that discovery is taken to bear of nodes that are told of a newer list
)
BACKEND_SCAN_INTERVAL_MS = 1_000.0  # between two looks at all servers
RECOVERY_STATES = tuple(r.RecoveryState)


class ClusterGossip:
    """`write` sends sections to an address."""

    def __init__(
        self,
        running: RunningNode,
        peers: FailureDetector,
        write: Callable[[str, t.Sections], None],
        counts: Counter[str],
    ) -> None:
        self.running, self.node, self.endpoint_view, self.event_counts = (
            running,
            running.node,
            running.fleet,
            counts,
        )
        told = self.node.settings
        self.coordinator = t.GossipCoordinator(
            peers,
            told.node_index,
            told.node_count,
            None,
            StaggeredSchedule(told.node_index, told.node_count, MAX_DISCOVERY_FETCHES_PER_S),
            Random(),
            goes_by,
            gossip.record_space_bytes(running.name, gossip.Message(goes_by.MESSAGE_KIND, 0, "", "", ())),
            () if told.must_poll else (PLATFORM,),  # where lists are pushed each node has an agent of its own
        )
        self.quota: shares.SetQuota | None = None  # nothing is divided by it yet
        self._send_sections = write
        self._settings_digests = configuration_digest(told, NODE_FIELDS), 0
        self._backends_by_zone: dict[str, tuple[int, int]] = {}
        self._last_backend_scan_ms = float("-inf")
        self.coordinator.digest_tree.apply(tuple(self.endpoint_view.merger.view.values()), ())
        self.endpoint_view.listeners.append(self._on_merge)

    def apply(self, settings: OperatorSettings) -> None:
        """The operators' file says this from now on."""
        self._settings_digests = (
            self._settings_digests[0],
            configuration_digest(settings, OPERATOR_NODE_FIELDS),
        )

    def use_failure_detector(self, peers: FailureDetector) -> None:
        """Go on at another address, as whoever speaks there."""
        self.coordinator.failure_detector = peers

    def close(self, lift: bool) -> None:
        """Hear no more. `lift`: what peers said holds no longer, else it stays and may be remembered."""
        if self._on_merge in self.endpoint_view.listeners:
            self.endpoint_view.listeners.remove(self._on_merge)
        self.handle(shares.ShutdownStarted())
        if lift:
            self._set_gossip_source(False)

    def handle(self, event: t.Event) -> None:
        """Something happened that bears on it."""
        try:
            actions = self.coordinator.handle(self.node.now(), event)
        except Exception:  # guards who is there, and requests, against one event
            log.exception("peers: %s failed", type(event).__name__)
            return
        for action in actions:
            self._perform(action)

    def run_round(self) -> None:
        """How the node stands."""
        meter, merge = self.running.recovery, self.endpoint_view.merger
        state = 0 if meter is None else RECOVERY_STATES.index(meter.recovery.state)
        version, zone, sources = balancer.__version__, self.node.settings.zone, list(merge.sources.values())
        self.handle(
            t.GossipIntervalElapsed(
                state,
                self._settings_digests,
                version,
                zone,
                sources,
                merge.view,
                self._count_silent_backends(),
            )
        )

    def _count_silent_backends(self) -> Mapping[str, tuple[int, int]]:
        """By zone, how many servers are up, and how many of them the module leaves alone, as they failed."""
        if (now := self.node.now()) - self._last_backend_scan_ms >= BACKEND_SCAN_INTERVAL_MS:
            self._last_backend_scan_ms, counts = now, Counter[tuple[str, bool]]()
            for one in self.node.balancer.backends.values():
                if one.endpoint.phase is Phase.UP:
                    counts[one.endpoint.zone, one.ejected_until_ms > now] += 1
            self._backends_by_zone = {
                z: (counts[z, True] + counts[z, False], counts[z, True]) for z, _ in counts
            }
        return self._backends_by_zone

    def _on_merge(self, event: membership.Event, actions: Sequence[membership.Action]) -> None:
        """The merge changed: by a source's word, or by none where it is set anew or goes on with a list."""
        source = None
        if not isinstance(event, (membership.SourcesConfigured, membership.NextSliceDue)):
            source = self.endpoint_view.merger.sources.get(event.source)
        for action in actions:
            if isinstance(action, membership.ApplyEndpoints):
                self.coordinator.on_source_applied(self.node.now(), source or hearsay.gossip_source(), action)

    # --- what was decided

    def _perform(self, action: t.Action) -> None:
        match action:
            case t.SendGossip():
                self._send_sections(action.address, action.sections)
            case t.RecordEvent():
                self._record_event(action)
            case t.WriteLog():
                log.info("peers: %s", printable(action.message))
            case membership.EndpointsListed():
                self._set_gossip_source(True)
                self.endpoint_view.handle(action)
            case hearsay.ResetGossipSource():
                self._set_gossip_source(False)
            case hearsay.FetchSnapshot():
                self._fetch_snapshot(action)
            case shares.SetQuota():
                self.quota = action

    def _record_event(self, action: t.RecordEvent) -> None:
        self.event_counts[f"peer {action.name}"] += 1
        of = printable(action.subject)
        log.warning("peers: %s: %s: %s", action.name, of, printable(action.reason))
        evidence: dict[str, object] = {"why": action.reason}
        if action.node_names:
            evidence["names"] = ", ".join(action.node_names)
        self.running.record_event(action.name, "node", of, "peers", evidence)

    def _set_gossip_source(self, on: bool) -> None:
        """Have the merge hear peers behind all others, or not at all."""
        sources = self.endpoint_view.merger.sources
        if (GOSSIP_SOURCE_NAME in sources) is not on:
            others = [source for name, source in sources.items() if name != GOSSIP_SOURCE_NAME]
            self.endpoint_view.handle(
                membership.SourcesConfigured((*others, *([hearsay.gossip_source()] if on else [])))
            )

    def _fetch_snapshot(self, action: hearsay.FetchSnapshot) -> None:
        """For its whole list, as the module would. etcd's watch cannot be asked for more than it tells."""
        if action.source == PLATFORM and self.node.discovery is not None:
            log.info("peers: others have seen revision %d of %s: it is asked", action.revision, PLATFORM)
            self.node.discovery.fetch()

    # --- what operators ask

    def gauges(self) -> dict[str, dict[str, float]]:
        """For the metrics: what is so now, by kind."""
        decider = self.coordinator
        taken = decider.gossiped_removals.accepted.values()
        return {
            "cuts": dict(Counter(of.value for of, _ in decider.partition_detector.partitions)),
            "disagreements": dict(
                Counter(what for what, _ in decider.node_states.divergence_hysteresis.active_since_ms)
            ),
            "taken": dict(Counter("gone" if out.is_gone else "drains" for out in taken)),
        }

    def report(self) -> dict[str, Any]:
        """What of `peers` is by the others' words."""
        return gossip_report(self.coordinator, self.quota)
