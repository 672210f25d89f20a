"""The decision module answers recorded event streams as the version before the renaming did, to the letter.

`fixtures/decisions.json` was written by that version. A change that is meant to alter decisions writes it
anew (`python -m tests.compatibility.record decisions`) and says so in its commit.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from balancer.policy import selection
from tests.compatibility import decision_streams as streams

FIXTURE = json.loads((Path(__file__).parent / "fixtures" / "decisions.json").read_text())
RUNS = [(name, count) for name in streams.CONFIGURATIONS for count in streams.BACKEND_COUNTS]


def test_recorded_streams_cover_all_runs_and_200000_events() -> None:
    names = {streams.run_name(*run) for run in RUNS}
    names |= {f"simulation-{seed}" for seed in streams.SIMULATION_SEEDS}
    assert names == FIXTURE.keys()
    assert len(names) >= 20
    assert sum(run["events"] for run in FIXTURE.values()) >= 200_000


@pytest.mark.parametrize(("configuration", "backend_count"), RUNS)
def test_decisions_of_a_stream_equal_the_recorded_digest(configuration: str, backend_count: int) -> None:
    stream = streams.stream(configuration, backend_count)
    digest = stream.play(streams.ARRIVALS)
    found = {"digest": digest, "events": stream.events, "actions": stream.actions}
    assert found == FIXTURE[streams.run_name(configuration, backend_count)]


@pytest.mark.parametrize("seed", streams.SIMULATION_SEEDS)
def test_decisions_of_a_simulated_fleet_equal_the_recorded_digest(seed: int) -> None:
    digest, events = streams.simulated_fleet(seed)
    assert {"digest": digest, "events": events} == FIXTURE[f"simulation-{seed}"]


def test_digest_changes_with_one_constant_of_the_policy(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(selection, "JOB_SIZE_SECOND_MOMENT", selection.JOB_SIZE_SECOND_MOMENT * 1.1)
    stream = streams.stream("live_weights", 24)
    assert stream.play(streams.ARRIVALS) != FIXTURE["live_weights-24"]["digest"]
