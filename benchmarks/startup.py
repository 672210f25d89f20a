"""How long a node takes to start, beside the libraries that it rests on alone.

    python -m benchmarks.startup --runs 15 --core 2

In turn, in copies of the package: the loop and the parser alone (imported, a listener opened); the node with
the byte code that `build` in deploy/balancer.toml makes; the same with a memory and a control socket by an
operators' file (it needs the install snowloom-balancer[state]); the node that compiles its own source.
Wall and CPU
time from the start of the process to the line "serves on", medians, and their ratio to the libraries.
"""

from __future__ import annotations

import argparse
import compileall
import json
import os
import py_compile
import resource
import shutil
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

from benchmarks.result_table import Row, table

ROOT = Path(__file__).parents[1]
ALONE = """
import asyncio, json, logging, sys
import httptools, uvloop
async def main():
    await asyncio.get_running_loop().create_server(asyncio.Protocol, "127.0.0.1", 0)
    print("serves on", file=sys.stderr, flush=True)
    await asyncio.sleep(60)
uvloop.run(main())
"""


def configuration(discovery: int) -> dict[str, object]:
    """A small site's: start-up costs by what is loaded, not by what is listed."""
    classes = [{"name": "read", "effect": "retryable", "give-up": 4000, "objective": 3000}]
    limits = {"cancel": True, "conn-idle": 60_000, "connect-timeout": 1000, "most-tries": 4}
    settings = {
        "request-classes": classes,
        "limits": limits | {"streams-per-conn": 1},
        "zone": "a",
        "load-info": {"how": "inline", "names": ["waiting"]},
        "discovery": "automatic",
        "rules": {"drain-grace": 2000, "answer-slack": 20},
    }
    members = [
        {"id": f"s-{n}", "host_port": f"127.0.0.1:{9000 + n}", "phase": "in_service", "locality": "a"}
        for n in range(200)
    ]
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "1",
        "limits": {"memory_mb": 80, "sockets": 640},
        "settings": settings,
        "known": {"revision": 1, "complete": True, "members": members},
    }


def started(words: Sequence[str], folder: Path, env: dict[str, str], core: int | None) -> tuple[float, float]:
    """Seconds from the start of a process to its line, and of CPU time until it was killed right then."""
    before, begun = resource.getrusage(resource.RUSAGE_CHILDREN), time.perf_counter()
    process = subprocess.Popen(
        [sys.executable, "-B", *words],
        cwd=folder,
        env=env,
        stderr=subprocess.PIPE,
        preexec_fn=None if core is None else lambda: os.sched_setaffinity(0, {core}),
    )
    assert process.stderr is not None
    while b"serves on" not in (line := process.stderr.readline()):
        if not line:
            raise SystemExit("the process has ended before it served")
    wall = time.perf_counter() - begun
    process.kill()
    process.wait()
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return wall, after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


def main(argv: Sequence[str] | None = None) -> None:
    """Measure, and print the table."""
    parser = argparse.ArgumentParser("python -m benchmarks.startup", description=__doc__.split("\n")[0])
    parser.add_argument("--runs", type=int, default=15, help="of each (15)")
    parser.add_argument("--core", type=int, help="the core to run on")
    args = parser.parse_args(argv)
    discovery = socket.create_server(("127.0.0.1", 0))  # takes the call and says nothing
    with tempfile.TemporaryDirectory(prefix="balancer-start-") as name, discovery:
        folder, config = Path(name), Path(name) / "c.json"
        config.write_text(json.dumps(configuration(discovery.getsockname()[1])))
        bare = shutil.ignore_patterns("__pycache__")
        for kind in ("with", "without"):
            shutil.copytree(ROOT / "balancer", folder / kind / "balancer", ignore=bare)
        mode = py_compile.PycInvalidationMode.CHECKED_HASH
        compileall.compile_dir(folder / "with", quiet=1, invalidation_mode=mode)
        env = {
            k: v
            for k, v in os.environ.items()
            if not k.startswith(("PROXY_", "BALANCER_", "DILLPORT_", "PYTHON"))
        }
        env["PROXY_CONFIG"] = str(config)
        (folder / "state").mkdir()
        tables = f'[control]\nsocket = "{folder}/c.sock"\n[state]\ndirectory = "state"\n'
        (folder / "s.toml").write_text(tables)
        ways = {
            "libraries alone": (["-c", ALONE], folder),
            "node with byte code": (["-m", "balancer"], folder / "with"),
            "the same, [control] and [state]": (
                ["-m", "balancer", "--settings", str(folder / "s.toml")],
                folder / "with",
            ),
            "node without": (["-m", "balancer"], folder / "without"),
        }
        took: dict[str, list[tuple[float, float]]] = {way: [] for way in ways}
        for _ in range(args.runs + 1):
            for way, (words, where) in ways.items():
                took[way].append(started(words, where, env, args.core))
    rows, alone = list[Row](), 0.0
    for way, pairs in took.items():
        counted = pairs[1:]  # the first one warms up
        wall, cpu = (statistics.median(pair[n] for pair in counted) for n in (0, 1))
        alone = alone or cpu
        rows.append(Row(way, f"{wall * 1000:.0f} ms, {cpu * 1000:.0f} ms of CPU, {cpu / alone:.2f}x"))
    print("\n".join(table("From the start of the process to its first listener", rows)))


if __name__ == "__main__":
    main()
