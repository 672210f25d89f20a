"""OpenMetrics (1.0) of a time line, made at scrape time by `prometheus_client`: requests do no work for it.

Labels are bounded: `SERVERS` servers, those with most attempts when there is a place, each for as long as it
has a line; what the others did is summed as one. Times are histograms a class, in seconds, with the id of a
late request as an exemplar of the bin that it fell in.
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
from balancer.timeline import latency_histogram as sketch
from balancer.timeline import schema as keys
from balancer.timeline.monitor import TimelineMonitor
from balancer.timeline.recorder import OTHERS, Line, Recorder

SERVERS = 50
BOUNDS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
RECENT = 200  # ended requests among which exemplars are looked for
END = b"# EOF\n"
Figures = dict[str, dict[str, float]]  # by name and label
CONTENT_TYPE = CONTENT_TYPE_LATEST


class Metrics:
    """The metrics of one time line."""

    def __init__(
        self,
        watch: TimelineMonitor,
        recovery: Recovery | None = None,
        peers: Callable[[], Figures | None] = lambda: None,
    ) -> None:
        self.watch, self.recovery, self.peers = watch, recovery, peers
        self.shown: set[str] = set()

    def families(self) -> Iterator[Metric]:
        """All of them, one at a time: between two a caller may let others go on."""
        recorder = self.watch.recorder
        yield self._requests(recorder)
        yield self._times(recorder)
        yield self._attempts(recorder)
        yield from self._servers(recorder)
        yield self._events()
        if self.recovery is not None:
            yield from _recovery(self.recovery)
        if (figures := self.peers()) is not None:
            yield from _peers(figures)
        held = GaugeMetricFamily("dillport_timeline_bytes", "Packed buckets that the time line holds.")
        held.add_metric([], recorder.size)
        yield held

    def pieces(self) -> Iterator[bytes]:
        """The text, in pieces; the last one ends it."""
        for family in self.families():
            registry = CollectorRegistry(auto_describe=False)
            registry.register(_One(family))
            text: bytes = generate_latest(registry)  # type: ignore[no-untyped-call]
            yield text.removesuffix(END)
        yield END

    def _requests(self, recorder: Recorder) -> Metric:
        out = CounterMetricFamily(
            "dillport_requests", "Requests by class and what became of them.", labels=["class", "result"]
        )
        results = {
            "arrived": keys.ARRIVED,
            "served": keys.OK,
            "refused": keys.REFUSED,
            "failed": keys.FAILED,
            "late": keys.LATE,
            "client_gone": keys.GONE,
        }
        for name, line in recorder.classes.items():
            for result, key in results.items():
                out.add_metric([name, result], line.totals.get(key, 0))
        return out

    def _times(self, recorder: Recorder) -> Metric:
        out = HistogramMetricFamily(
            "dillport_answer_seconds", "Times of servers' answers by class.", labels=["class"], unit="seconds"
        )
        for name, line in recorder.classes.items():
            first, counts = recorder.numbers[name], [0] * (len(BOUNDS_S) + 1)
            total = 0.0
            for key, count in line.totals.items():
                if key >= keys.TIMES:
                    seconds = sketch.value_of(key - first) / 1000
                    total += count * seconds
                    counts[_bin(seconds)] += count
            exemplars = self._exemplars(recorder, name)
            buckets: list[tuple[str, float] | tuple[str, float, Exemplar]] = []
            below = 0
            for number, bound in enumerate((*BOUNDS_S, math.inf)):
                below += counts[number]
                text = "+Inf" if bound == math.inf else str(bound)
                exemplar = exemplars.get(number)
                buckets.append((text, below, exemplar) if exemplar else (text, below))
            out.add_metric([name], buckets, sum_value=total)
        return out

    def _exemplars(self, recorder: Recorder, name: str) -> dict[int, Exemplar]:
        """A late request for a bin, where one of the last has its answer there."""
        out: dict[int, Exemplar] = {}
        notable = recorder.trails.notable
        for request in list(notable)[-RECENT:]:
            trail = notable[request]
            last = trail[-1]
            if (
                trail[0].class_name == name
                and isinstance(last, api.AttemptFinished)
                and last.status is api.AttemptStatus.OK
            ):
                seconds = last.duration_ms / 1000
                shown = "".join(c if c.isascii() and c.isprintable() else "?" for c in request[:64])
                out[_bin(seconds)] = Exemplar({"request_id": shown}, seconds, trail[-2] / 1000)
        return out

    def _attempts(self, recorder: Recorder) -> Metric:
        out = CounterMetricFamily(
            "dillport_decisions", "Attempts, refusals and notes by reason, at the whole node.", labels=["why"]
        )
        totals: dict[int, int] = dict(recorder.node.totals)
        for line in recorder.classes.values():
            for key in keys.REASONS:
                if key in line.totals:
                    totals[key] = totals.get(key, 0) + line.totals[key]
        for key in (*keys.REASONS, *keys.WHAT.values(), keys.CROWDED):
            if key in totals:
                out.add_metric([keys.NAMES[key]], totals[key])
        return out

    def _servers(self, recorder: Recorder) -> Iterator[Metric]:
        lines = recorder.servers
        self.shown &= lines.keys()
        if len(self.shown) < SERVERS:
            rest = sorted(
                (n for n in lines if n not in self.shown),
                key=lambda n: (-lines[n].totals.get(keys.ATTEMPTS, 0), n),
            )
            self.shown.update(rest[: SERVERS - len(self.shown)])
        attempts = CounterMetricFamily(
            "dillport_server_attempts", "Attempts by server and how they ended.", labels=["server", "outcome"]
        )
        own = GaugeMetricFamily("dillport_server_own", "The node's attempts out.", labels=["server"])
        others = Line("server", OTHERS)
        for line in (*lines.values(), recorder.others):
            if line.name not in self.shown or line is recorder.others:
                others.own += line.own
                for key in keys.OUTCOMES:
                    if key in line.totals:
                        others.totals[key] = others.totals.get(key, 0) + line.totals[key]
        for line in (*(lines[name] for name in sorted(self.shown)), others):
            for key in keys.OUTCOMES:
                if key in line.totals:
                    attempts.add_metric([line.name, keys.NAMES[key]], line.totals[key])
            own.add_metric([line.name], line.own)
        yield attempts
        yield own

    def _events(self) -> Metric:
        out = GaugeMetricFamily(
            "dillport_departures", "Open events by signal and scope.", labels=["signal", "scope"]
        )
        counts: dict[tuple[str, str], int] = {}
        for event in self.watch.detector.open_anomalies.values():
            key = event.signal.value, event.scope.value
            counts[key] = counts.get(key, 0) + 1
        for labels, count in counts.items():
            out.add_metric(list(labels), count)
        return out


def _recovery(recovery: Recovery) -> Iterator[Metric]:
    """How far the node is back."""
    state = StateSetMetricFamily("dillport_recovery_state", "How far the node is back.")
    state.add_metric([], {one.value: one is recovery.state for one in RecoveryState})
    yield state
    memory = StateSetMetricFamily("dillport_recovery_memory", "What is left of an earlier life.")
    memory.add_metric([], {one.value: one is recovery.persisted_state for one in PersistedState})
    yield memory
    life = GaugeMetricFamily("dillport_recovery_incarnation", "The number of the node's life; it only rises.")
    life.add_metric([], recovery.incarnation)
    yield life
    phases = GaugeMetricFamily(
        "dillport_recovery_phase_seconds", "From the start to each phase.", labels=["phase"], unit="seconds"
    )
    for name, ms in {**recovery.startup_phases_ms, **recovery.meter.phases_ms}.items():
        phases.add_metric([name], ms / 1000)
    yield phases


def _peers(figures: Figures) -> Iterator[Metric]:
    """Who is there, as this node sees it; the labels are those of the program alone."""
    states = GaugeMetricFamily("dillport_peers", "Other nodes by state.", labels=["state"])
    for state, count in figures["states"].items():
        states.add_metric([state], count)
    yield states
    for name, text, label in (
        ("cuts", "What this node is cut off from.", "of"),
        ("disagreements", "What nodes disagree on.", "what"),
        ("taken", "Servers that drain or are gone by other nodes' word.", "what"),
    ):
        if name in figures:
            gauge = GaugeMetricFamily(f"dillport_peer_{name}", text, labels=[label])
            for which, count in figures[name].items():
                gauge.add_metric([which], count)
            yield gauge
    for name, text, label in (
        ("events", "What became of other nodes.", "event"),
        ("datagrams", "Datagrams between nodes.", "way"),
        ("refused", "Datagrams that were not taken, by reason.", "why"),
    ):
        out = CounterMetricFamily(f"dillport_peer_{name}", text, labels=[label])
        for which, count in figures[name].items():
            out.add_metric([which], count)
        yield out


class _One:
    """A collector of one family that is there already."""

    def __init__(self, family: Metric) -> None:
        self.family = family

    def collect(self) -> Iterator[Metric]:
        """It."""
        yield self.family


def _bin(seconds: float) -> int:
    return next((n for n, bound in enumerate(BOUNDS_S) if seconds <= bound), len(BOUNDS_S))
