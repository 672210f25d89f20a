"""Feeds `core/cluster/gossip_coordinator` on a running node and performs its actions.

The coordinator receives the sections of each datagram, the status of the node in each gossip interval, and
what the endpoint merger applied. Its actions go to the other nodes, the time line, the log, the merger and
this node's discovery.

Removals that are accepted from peers reach the merger as one more source, the last, which may only drain and
remove. It is configured from the first such removal on, until the operators switch `[peers]` off.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any

import balancer
from balancer.core import recovery
from balancer.core.cluster import (
    configuration_digest,
    gossip_coordinator,
    gossiped_removals,
    node_state,
    quota_allocation,
    report,
)
from balancer.core.cluster.failure_detector.detector import FailureDetector
from balancer.core.cluster.partition_detector import BackendCounts
from balancer.core.discovery import endpoint_merger
from balancer.core.staggering import StaggeredSchedule
from balancer.interface import Phase
from balancer.net.component import RunningNode
from balancer.net.discovery.platform import SOURCE_NAME as PLATFORM
from balancer.operator_settings import OperatorSettings
from balancer.protocol import gossip, gossip_sections

log = logging.getLogger(__name__)

# What discovery is assumed to sustain when all nodes learn of a newer list at the same time.
MAX_DISCOVERY_FETCHES_PER_S = 50.0
BACKEND_SCAN_INTERVAL_MS = 1_000.0  # a scan visits all backends
RECOVERY_STATES = tuple(recovery.RecoveryState)


class ClusterGossip:
    """Connects a `GossipCoordinator` with the running node.

    `send_sections` sends a datagram to an address. Events on the time line are counted in `event_counts`.
    """

    def __init__(
        self,
        running: RunningNode,
        failure_detector: FailureDetector,
        send_sections: Callable[[str, gossip_coordinator.Sections], None],
        event_counts: Counter[str],
    ) -> None:
        self.running, self.node, self.endpoint_view = running, running.node, running.endpoint_view
        self.event_counts = event_counts
        settings = self.node.settings
        self.coordinator = gossip_coordinator.GossipCoordinator(
            failure_detector,
            settings.node_index,
            settings.node_count,
            persisted_quota=None,
            time_slots=StaggeredSchedule(
                settings.node_index, settings.node_count, MAX_DISCOVERY_FETCHES_PER_S
            ),
            random=Random(),
            codec=gossip_sections,
            capacity_bytes=gossip.record_space_bytes(
                running.name, gossip.Message(gossip_sections.MESSAGE_KIND, 0, "", "", ())
            ),
            # If lists are pushed, each node has its own discovery agent.
            sources_with_local_agents=() if settings.must_poll else (PLATFORM,),
        )
        self.quota: quota_allocation.SetQuota | None = None  # only reported; no limit is derived from it yet
        self._send_sections = send_sections
        self._settings_digests = (
            configuration_digest.configuration_digest(settings, configuration_digest.NODE_FIELDS),
            0,
        )
        self._backends_by_zone: dict[str, BackendCounts] = {}
        self._last_backend_scan_ms = float("-inf")
        self.coordinator.digest_tree.apply(tuple(self.endpoint_view.merger.view.values()), ())
        self.endpoint_view.listeners.append(self._on_merge)

    def apply(self, settings: OperatorSettings) -> None:
        """Advertise the digest of these operators' settings from now on."""
        operators_digest = configuration_digest.configuration_digest(
            settings, configuration_digest.OPERATOR_NODE_FIELDS
        )
        self._settings_digests = self._settings_digests[0], operators_digest

    def use_failure_detector(self, failure_detector: FailureDetector) -> None:
        """Continue with the failure detector of another listening address."""
        self.coordinator.failure_detector = failure_detector

    def close(self, withdraws_removals: bool) -> None:
        """Stop. Removals accepted from peers are withdrawn, or stay in the view and may be persisted."""
        if self._on_merge in self.endpoint_view.listeners:
            self.endpoint_view.listeners.remove(self._on_merge)
        self.handle(quota_allocation.ShutdownStarted())
        if withdraws_removals:
            self._disable_gossip_source()

    def handle(self, event: gossip_coordinator.Event) -> None:
        """Pass an event to the coordinator and perform its actions. Errors of the coordinator are logged."""
        try:
            actions = self.coordinator.handle(self.node.now(), event)
        except Exception:  # a failing event must affect neither the failure detector nor requests
            log.exception("peers: %s failed", type(event).__name__)
            return
        for action in actions:
            self._perform(action)

    def run_round(self) -> None:
        """Pass the status of this node to the coordinator; due each node_state.GOSSIP_INTERVAL_MS."""
        component, merger = self.running.recovery, self.endpoint_view.merger
        state_index = 0 if component is None else RECOVERY_STATES.index(component.recovery.state)
        self.handle(
            gossip_coordinator.GossipIntervalElapsed(
                recovery_state=state_index,
                settings_digests=self._settings_digests,
                program_version=balancer.__version__,
                zone=self.node.settings.zone,
                sources=list(merger.sources.values()),
                endpoints=merger.view,
                backends_by_zone=self._count_silent_backends(),
            )
        )

    def _count_silent_backends(self) -> Mapping[str, BackendCounts]:
        """Backends that are up, by zone; those that are ejected count as silent."""
        if (now_ms := self.node.now()) - self._last_backend_scan_ms >= BACKEND_SCAN_INTERVAL_MS:
            self._last_backend_scan_ms = now_ms
            counts = Counter[tuple[str, bool]]()
            for backend in self.node.balancer.backends.values():
                if backend.endpoint.phase is Phase.UP:
                    counts[backend.endpoint.zone, backend.ejected_until_ms > now_ms] += 1
            self._backends_by_zone = {
                zone: BackendCounts(counts[zone, True] + counts[zone, False], counts[zone, True])
                for zone, _ in counts
            }
        return self._backends_by_zone

    def _on_merge(self, event: endpoint_merger.Event, actions: Sequence[endpoint_merger.Action]) -> None:
        """Report what the merger applied. Configuration events and later slices belong to no source."""
        source = None
        if not isinstance(event, (endpoint_merger.SourcesConfigured, endpoint_merger.NextSliceDue)):
            source = self.endpoint_view.merger.sources.get(event.source)
        for action in actions:
            if isinstance(action, endpoint_merger.ApplyEndpoints):
                self.coordinator.on_source_applied(
                    self.node.now(), source or gossiped_removals.gossip_source(), action
                )

    # --- actions

    def _perform(self, action: gossip_coordinator.Action) -> None:
        match action:
            case gossip_coordinator.SendGossip():
                self._send_sections(action.address, action.sections)
            case gossip_coordinator.RecordEvent():
                self._record_event(action)
            case gossip_coordinator.WriteLog():
                log.info("peers: %s", report.printable(action.message))
            case endpoint_merger.EndpointsListed():
                self._enable_gossip_source()
                self.endpoint_view.handle(action)
            case gossiped_removals.ResetGossipSource():
                self._disable_gossip_source()
            case gossiped_removals.FetchSnapshot():
                self._fetch_snapshot(action)
            case quota_allocation.SetQuota():
                self.quota = action

    def _record_event(self, action: gossip_coordinator.RecordEvent) -> None:
        self.event_counts[f"peer {action.name}"] += 1
        subject = report.printable(action.subject)
        log.warning("peers: %s: %s: %s", action.name, subject, report.printable(action.reason))
        evidence: dict[str, object] = {"why": action.reason}
        if action.node_names:
            evidence["names"] = ", ".join(action.node_names)
        self.running.record_event(action.name, "node", subject, "peers", evidence)

    def _enable_gossip_source(self) -> None:
        """Have the merger accept removals from peers, as a source behind all others."""
        sources = self.endpoint_view.merger.sources
        if node_state.GOSSIP_SOURCE_NAME not in sources:
            configured = (*sources.values(), gossiped_removals.gossip_source())
            self.endpoint_view.handle(endpoint_merger.SourcesConfigured(configured))

    def _disable_gossip_source(self) -> None:
        """Withdraw all removals that were accepted from peers."""
        sources = self.endpoint_view.merger.sources
        if node_state.GOSSIP_SOURCE_NAME in sources:
            others = tuple(
                source for name, source in sources.items() if name != node_state.GOSSIP_SOURCE_NAME
            )
            self.endpoint_view.handle(endpoint_merger.SourcesConfigured(others))

    def _fetch_snapshot(self, action: gossiped_removals.FetchSnapshot) -> None:
        """Fetch the platform's list. etcd's watch already delivers all that it has."""
        if action.source == PLATFORM and self.node.discovery is not None:
            log.info(
                "peers: peers have seen revision %d of %s: fetching a snapshot", action.revision, PLATFORM
            )
            self.node.discovery.fetch()

    # --- reports

    def gauges(self) -> dict[str, dict[str, float]]:
        """Current numbers of partitions, divergences and accepted removals, by kind, for the metrics."""
        coordinator = self.coordinator
        partitions = coordinator.partition_detector.partitions
        divergences = coordinator.node_states.divergence_hysteresis.active_since_ms
        removals = coordinator.gossiped_removals.accepted.values()
        return {
            "cuts": dict(Counter(key.scope.value for key in partitions)),
            "disagreements": dict(Counter(str(key.kind) for key in divergences)),
            "taken": dict(Counter("gone" if removal.is_gone else "drains" for removal in removals)),
        }

    def report(self) -> dict[str, Any]:
        """Return the part of `balancer peers` that results from gossip."""
        return report.gossip_report(self.coordinator, self.quota)
