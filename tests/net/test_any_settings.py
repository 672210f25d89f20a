"""A node on sockets under any settings that a site may have, its list with odd but legal entries."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from pathlib import Path
from typing import Any

import pytest

from balancer import interface as api
from tests.net.test_client_gone import fronting, run
from tests.policy.test_any_settings import any_settings, told
from tests.sockets import Backend, Client

IDS = ["s-1", "7", "b 2", "ø/日本", "a\nb", "x" * 256, "%s", "{0}"]
ROWS: list[dict[str, Any]] = [
    {"locality": ""},
    {"locality": "zürich 1", "cell": 10**18},
    {"cell": -3, "size": 0},
    {"size": 1e300},
    {"flavor": "", "up_since_ms": 1.5},
    {"up_since_ms": 10**13},
    {"size": 1e-300},
    {"new": [None, {}]},
]


@pytest.mark.parametrize("seed", range(12))
def test_each_request_gets_its_answer(tmp_path: Path, caplog: pytest.LogCaptureFixture, seed: int) -> None:
    """Served by what a backend made, or refused where that is harmless; nothing is logged as failed."""
    caplog.set_level(logging.WARNING)
    rng = random.Random(seed)
    cfg = any_settings(rng)

    async def test() -> None:
        backends = [Backend(name) for name in IDS]
        for backend in backends:
            await backend.start()
        members = [backend.member() | row for backend, row in zip(backends, ROWS, strict=True)]
        del members[0]["cell"], members[1]["flavor"], members[2]["up_since_ms"], members[3]["locality"]
        del members[4]["size"]
        over = json.loads(told(cfg))
        del over["discovery"]  # nobody is asked here
        async with fronting(tmp_path, *members, **over) as front:
            assert len(front.node.balancer.order) == len(IDS)
            client = Client(*await asyncio.open_connection(*front.address))
            codes = set()
            for number in range(30):
                cls = rng.choice(cfg.classes)
                key = ["Idempotency-Key: k"] * (cls.idempotency is api.Idempotency.KEYED)
                if rng.random() < 0.3:
                    key += [f"Tenant: Ø {number}", "Client-Retry: 1", "Work-Hint: 0"]
                method = "GET" if cls.idempotency is api.Idempotency.IDEMPOTENT else "POST"
                name = client.send(f"/{cls.name}?obj=%ff&obj", *key, method=method)
                got = await client.answer()
                codes.add(got.code)
                made = [f"{backend.name} {name}".encode() for backend in backends]
                assert got.code != 200 or got.body in made
            assert codes <= {200, 502, 503}
            assert not front.node.open_requests and not front.node.balancer.in_flight
            client.writer.transport.abort()
        for backend in backends:
            backend.stop()

    run(test)
    ours = [row for row in caplog.records if row.name.startswith("balancer")]
    assert not [row for row in ours if row.exc_info or row.levelno >= logging.ERROR]
