"""Writes the fixtures anew: `python -m tests.compatibility.record decisions store datagrams ...`."""

from __future__ import annotations

import asyncio
import json
import shutil
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.compatibility import datagrams, exported_names, stored_data
from tests.compatibility import decision_streams as streams

FIXTURES = Path(__file__).parent / "fixtures"


def record_decisions() -> dict[str, Any]:
    """Digest and counts of every stream."""
    out: dict[str, Any] = {}
    for configuration in streams.CONFIGURATIONS:
        for count in streams.BACKEND_COUNTS:
            stream = streams.stream(configuration, count)
            digest = stream.play(streams.ARRIVALS)
            out[streams.run_name(configuration, count)] = {
                "digest": digest,
                "events": stream.events,
                "actions": stream.actions,
            }
    for seed in streams.SIMULATION_SEEDS:
        digest, events = streams.simulated_fleet(seed)
        out[f"simulation-{seed}"] = {"digest": digest, "events": events}
    return out


def record_store() -> dict[str, Any]:
    """A store directory, and what is read from a copy of it."""
    stored_data.write(stored_data.DIRECTORY)
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "store"
        shutil.copytree(stored_data.DIRECTORY, copy)
        return stored_data.read(copy)


def record_datagrams() -> list[dict[str, Any]]:
    """Each datagram and what it says."""
    return datagrams.write()


def record_exported_names() -> dict[str, Any]:
    """Names that others see, and the keys of the JSON that a running node and its directory give."""
    with tempfile.TemporaryDirectory(prefix="n") as folder:
        keys = asyncio.run(exported_names.json_keys(Path(folder)))
    return {"static": exported_names.static_names(), "json_keys": keys}


RECORDERS: dict[str, Callable[[], Any]] = {
    "decisions": record_decisions,
    "store": record_store,
    "datagrams": record_datagrams,
    "exported_names": record_exported_names,
}


def main(names: list[str]) -> None:
    """Write the fixtures of these names."""
    for name in names:
        text = json.dumps(RECORDERS[name](), indent=1, sort_keys=True)
        (FIXTURES / f"{name}.json").write_text(text + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
