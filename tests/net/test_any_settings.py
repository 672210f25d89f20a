"""Tests of a node on sockets with random settings and a list of unusual but valid entries."""

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
from tests.policy.test_any_settings import any_settings, to_platform_json
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
def test_request_under_any_settings_gets_its_response(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, seed: int
) -> None:
    """Requests are served by a backend or rejected where that is safe; no error is logged."""
    caplog.set_level(logging.WARNING)
    rng = random.Random(seed)
    settings = any_settings(rng)

    async def test() -> None:
        backends = [Backend(name) for name in IDS]
        for backend in backends:
            await backend.start()
        members = [backend.member() | row for backend, row in zip(backends, ROWS, strict=True)]
        del members[0]["cell"], members[1]["flavor"], members[2]["up_since_ms"], members[3]["locality"]
        del members[4]["size"]
        overrides = json.loads(to_platform_json(settings))
        del overrides["discovery"]  # discovery is not used here
        async with fronting(tmp_path, *members, **overrides) as server:
            assert len(server.node.balancer.order) == len(IDS)
            client = Client(*await asyncio.open_connection(*server.address))
            codes = set()
            for number in range(30):
                cls = rng.choice(settings.classes)
                key = ["Idempotency-Key: k"] * (cls.idempotency is api.Idempotency.KEYED)
                if rng.random() < 0.3:
                    key += [f"Tenant: Ø {number}", "Client-Retry: 1", "Work-Hint: 0"]
                method = "GET" if cls.idempotency is api.Idempotency.IDEMPOTENT else "POST"
                name = client.send(f"/{cls.name}?obj=%ff&obj", *key, method=method)
                response = await client.answer()
                codes.add(response.code)
                expected_bodies = [f"{backend.name} {name}".encode() for backend in backends]
                assert response.code != 200 or response.body in expected_bodies
            assert codes <= {200, 502, 503}
            assert not server.node.open_requests and not server.node.balancer.in_flight
            client.writer.transport.abort()
        for backend in backends:
            backend.stop()

    run(test)
    records = [row for row in caplog.records if row.name.startswith("balancer")]
    assert not [row for row in records if row.exc_info or row.levelno >= logging.ERROR]
