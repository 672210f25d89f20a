"""OpenMetrics 1.0 exposition of a timeline, built by `prometheus_client` at scrape time and not per request.

Labels are bounded: at most `MAX_SERVER_LABELS` servers have their own label, those with most attempts when a
label is free, each for as long as it has a line; all others are summed under one label. Response times are
one histogram for each class, in seconds, with the id of a late request as an exemplar of its bucket.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry
from prometheus_client.core import (
    CounterMetricFamily,
    Exemplar,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
    StateSetMetricFamily,
)
from prometheus_client.openmetrics.exposition import CONTENT_TYPE_LATEST, generate_latest

from balancer import interface as api
from balancer.core.recovery import PersistedState, Recovery, RecoveryState
from balancer.timeline import latency_histogram, schema
from balancer.timeline.monitor import TimelineMonitor
from balancer.timeline.recorder import OTHER_SERVERS, Line, Recorder

MAX_SERVER_LABELS = 50
LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
MAX_EXEMPLAR_CANDIDATES = 200  # the latest ended requests
EOF_MARKER = b"# EOF\n"
Figures = dict[str, dict[str, float]]  # by metric and label value
CONTENT_TYPE = CONTENT_TYPE_LATEST


class Metrics:
    """The metrics of one timeline."""

    def __init__(
        self,
        monitor: TimelineMonitor,
        recovery: Recovery | None = None,
        peers: Callable[[], Figures | None] = lambda: None,
    ) -> None:
        self.watch, self.recovery, self.peers = monitor, recovery, peers
        self.labelled_servers: set[str] = set()

    def families(self) -> Iterator[Metric]:
        """Yields all families one by one, so that the caller may serve requests in between."""
        recorder = self.watch.recorder
        yield self._request_counts(recorder)
        yield self._latency_histogram(recorder)
        yield self._decision_counts(recorder)
        yield from self._server_metrics(recorder)
        yield self._open_anomalies()
        if self.recovery is not None:
            yield from _recovery_metrics(self.recovery)
        if (peer_figures := self.peers()) is not None:
            yield from _peer_metrics(peer_figures)
        timeline_bytes = GaugeMetricFamily(
            "dillport_timeline_bytes", "Packed buckets that the time line holds."
        )
        timeline_bytes.add_metric([], recorder.size_bytes)
        yield timeline_bytes

    def pieces(self) -> Iterator[bytes]:
        """Yields the exposition text in pieces; the last one is the end marker."""
        for family in self.families():
            registry = CollectorRegistry(auto_describe=False)
            registry.register(_SingleFamilyCollector(family))
            text: bytes = generate_latest(registry)  # type: ignore[no-untyped-call]
            yield text.removesuffix(EOF_MARKER)
        yield EOF_MARKER

    def _request_counts(self, recorder: Recorder) -> Metric:
        family = CounterMetricFamily(
            "dillport_requests", "Requests by class and what became of them.", labels=["class", "result"]
        )
        results = {
            "arrived": schema.ARRIVED,
            "served": schema.OK,
            "refused": schema.REFUSED,
            "failed": schema.FAILED,
            "late": schema.LATE,
            "client_gone": schema.CLIENT_GONE,
        }
        for name, line in recorder.classes.items():
            for result, key in results.items():
                family.add_metric([name, result], line.totals.get(key, 0))
        return family

    def _latency_histogram(self, recorder: Recorder) -> Metric:
        family = HistogramMetricFamily(
            "dillport_answer_seconds", "Times of servers' answers by class.", labels=["class"], unit="seconds"
        )
        for name, line in recorder.classes.items():
            first_key, counts = recorder.class_first_keys[name], [0] * (len(LATENCY_BUCKETS_S) + 1)
            sum_s = 0.0
            for key, count in line.totals.items():
                if key >= schema.FIRST_LATENCY_KEY:
                    seconds = latency_histogram.bin_value_ms(key - first_key) / 1000
                    sum_s += count * seconds
                    counts[_bucket_index(seconds)] += count
            exemplars = self._exemplars(recorder, name)
            buckets: list[tuple[str, float] | tuple[str, float, Exemplar]] = []
            cumulative_count = 0
            for index, upper_bound_s in enumerate((*LATENCY_BUCKETS_S, math.inf)):
                cumulative_count += counts[index]
                bound_label = "+Inf" if upper_bound_s == math.inf else str(upper_bound_s)
                exemplar = exemplars.get(index)
                buckets.append(
                    (bound_label, cumulative_count, exemplar) if exemplar else (bound_label, cumulative_count)
                )
            family.add_metric([name], buckets, sum_value=sum_s)
        return family

    def _exemplars(self, recorder: Recorder, class_name: str) -> dict[int, Exemplar]:
        """Returns one of the latest notable requests for each bucket that one of them falls in."""
        exemplars: dict[int, Exemplar] = {}
        notable = recorder.traces.notable
        for request_id in list(notable)[-MAX_EXEMPLAR_CANDIDATES:]:
            trace = notable[request_id]
            last_step = trace[-1]
            if (
                trace[0].class_name == class_name
                and isinstance(last_step, api.AttemptFinished)
                and last_step.status is api.AttemptStatus.OK
            ):
                seconds = last_step.duration_ms / 1000
                request_label = "".join(
                    c if c.isascii() and c.isprintable() else "?" for c in request_id[:64]
                )
                exemplars[_bucket_index(seconds)] = Exemplar(
                    {"request_id": request_label}, seconds, trace[-2] / 1000
                )
        return exemplars

    def _decision_counts(self, recorder: Recorder) -> Metric:
        family = CounterMetricFamily(
            "dillport_decisions", "Attempts, refusals and notes by reason, at the whole node.", labels=["why"]
        )
        totals: dict[int, int] = dict(recorder.node.totals)
        for line in recorder.classes.values():
            for key in schema.REASON_KEYS:
                if key in line.totals:
                    totals[key] = totals.get(key, 0) + line.totals[key]
        for key in (*schema.REASON_KEYS, *schema.KEY_BY_DECISION.values(), schema.OVERLOADED):
            if key in totals:
                family.add_metric([schema.NAMES[key]], totals[key])
        return family

    def _server_metrics(self, recorder: Recorder) -> Iterator[Metric]:
        lines = recorder.servers
        self.labelled_servers &= lines.keys()
        if len(self.labelled_servers) < MAX_SERVER_LABELS:
            unlabelled = sorted(
                (name for name in lines if name not in self.labelled_servers),
                key=lambda name: (-lines[name].totals.get(schema.ATTEMPTS, 0), name),
            )
            self.labelled_servers.update(unlabelled[: MAX_SERVER_LABELS - len(self.labelled_servers)])
        attempts = CounterMetricFamily(
            "dillport_server_attempts", "Attempts by server and how they ended.", labels=["server", "outcome"]
        )
        own_attempts = GaugeMetricFamily("dillport_server_own", "The node's attempts out.", labels=["server"])
        others_line = Line("server", OTHER_SERVERS)
        for line in (*lines.values(), recorder.other_servers):
            if line.name not in self.labelled_servers or line is recorder.other_servers:
                others_line.own_attempts += line.own_attempts
                for key in schema.OUTCOME_KEYS:
                    if key in line.totals:
                        others_line.totals[key] = others_line.totals.get(key, 0) + line.totals[key]
        for line in (*(lines[name] for name in sorted(self.labelled_servers)), others_line):
            for key in schema.OUTCOME_KEYS:
                if key in line.totals:
                    attempts.add_metric([line.name, schema.NAMES[key]], line.totals[key])
            own_attempts.add_metric([line.name], line.own_attempts)
        yield attempts
        yield own_attempts

    def _open_anomalies(self) -> Metric:
        family = GaugeMetricFamily(
            "dillport_departures", "Open events by signal and scope.", labels=["signal", "scope"]
        )
        counts: dict[tuple[str, str], int] = {}
        for event in self.watch.detector.open_anomalies.values():
            key = event.signal.value, event.scope.value
            counts[key] = counts.get(key, 0) + 1
        for labels, count in counts.items():
            family.add_metric(list(labels), count)
        return family


def _recovery_metrics(recovery: Recovery) -> Iterator[Metric]:
    """Yields the metrics of the recovery after a start."""
    state = StateSetMetricFamily("dillport_recovery_state", "How far the node is back.")
    state.add_metric([], {member.value: member is recovery.state for member in RecoveryState})
    yield state
    memory = StateSetMetricFamily("dillport_recovery_memory", "What is left of an earlier life.")
    memory.add_metric([], {member.value: member is recovery.persisted_state for member in PersistedState})
    yield memory
    incarnation = GaugeMetricFamily(
        "dillport_recovery_incarnation", "The number of the node's life; it only rises."
    )
    incarnation.add_metric([], recovery.incarnation)
    yield incarnation
    phases = GaugeMetricFamily(
        "dillport_recovery_phase_seconds", "From the start to each phase.", labels=["phase"], unit="seconds"
    )
    for name, ms in {**recovery.startup_phases_ms, **recovery.meter.phases_ms}.items():
        phases.add_metric([name], ms / 1000)
    yield phases


def _peer_metrics(figures: Figures) -> Iterator[Metric]:
    """Yields the metrics of the other nodes; label values are fixed by the program."""
    states = GaugeMetricFamily("dillport_peers", "Other nodes by state.", labels=["state"])
    for state, count in figures["states"].items():
        states.add_metric([state], count)
    yield states
    for name, help_text, label in (
        ("cuts", "What this node is cut off from.", "of"),
        ("disagreements", "What nodes disagree on.", "what"),
        ("taken", "Servers that drain or are gone by other nodes' word.", "what"),
    ):
        if name in figures:
            gauge = GaugeMetricFamily(f"dillport_peer_{name}", help_text, labels=[label])
            for label_value, count in figures[name].items():
                gauge.add_metric([label_value], count)
            yield gauge
    for name, help_text, label in (
        ("events", "What became of other nodes.", "event"),
        ("datagrams", "Datagrams between nodes.", "way"),
        ("refused", "Datagrams that were not taken, by reason.", "why"),
    ):
        counter = CounterMetricFamily(f"dillport_peer_{name}", help_text, labels=[label])
        for label_value, count in figures[name].items():
            counter.add_metric([label_value], count)
        yield counter


class _SingleFamilyCollector:
    """A collector that returns one given family."""

    def __init__(self, family: Metric) -> None:
        self.family = family

    def collect(self) -> Iterator[Metric]:
        """Yields the family."""
        yield self.family


def _bucket_index(seconds: float) -> int:
    return next(
        (index for index, upper_bound_s in enumerate(LATENCY_BUCKETS_S) if seconds <= upper_bound_s),
        len(LATENCY_BUCKETS_S),
    )
