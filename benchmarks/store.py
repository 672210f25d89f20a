"""What keeping costs: engines beside one another, and the loop's stalls while a view of 10,000 is written.

    python -m benchmarks.store [--servers 10000] [--seconds 10] [--core 2]

Engines: durable rows one by one and 1,000 a commit, time to import, size of the package. The loop: a timer of
1 ms is watched while nothing is written (the machine's own noise), while a first view comes in slices of 250,
during a storm of 1,000 changes a second, and the same on a disk that takes a second for each sync. A *stall*
is how late the timer came; a *turn* is the time that one event took in the decider and in handing over.
"""

from __future__ import annotations

import argparse
import asyncio
import importlib.util
import os
import random
import resource
import sqlite3
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

import apsw
import lmdb
import msgspec
import xxhash

from balancer.core.persistence import write_behind as k
from balancer.core.persistence.persisted_state import (
    URGENT_TABLES,
    NodeIdentity,
    PersistedEndpoint,
)
from balancer.core.persistence.restoration import restore
from balancer.store.engine import Delete, Put
from balancer.store.errors import WriteQueueFullError
from balancer.store.store import Store
from balancer.testbed.simulated_disk import SimulatedDisk, SimulatedFileSystem
from benchmarks.result_table import (
    Row,
    cores,
    on,
    part_of,
    table,
)

VALUE = b"x" * 120  # about a server's row
SLICE = 250


# --- engines ---


def rows_us(write: Callable[[list[str]], None], batch: int, commits: int) -> float:
    """Microseconds a row, as many rows a commit."""
    began = time.perf_counter()
    for n in range(commits):
        write([f"s{(n * batch + i) % 10_000}" for i in range(batch)])
    return (time.perf_counter() - began) / batch / commits * 1e6


def sql(run: Callable[..., object]) -> Callable[[list[str]], None]:
    """A commit of rows through SQLite, by either binding."""
    for word in ("locking_mode=exclusive", "journal_mode=wal", "synchronous=full"):
        run(f"pragma {word}")
    run("create table t (k text primary key, v blob) without rowid")

    def write(keys: list[str]) -> None:
        run("begin")
        for key in keys:
            run("insert or replace into t values (?, ?)", (key, VALUE))
        run("commit")

    return write


def import_ms(name: str) -> float:
    """The least of some imports, each in a process of its own."""
    code = f"import time; t = time.perf_counter(); import {name}; print(time.perf_counter() - t)"
    told = [subprocess.run([sys.executable, "-c", code], capture_output=True, check=True) for _ in range(5)]
    return min(float(one.stdout) for one in told) * 1000


def package_mb(name: str) -> float:
    """Bytes of an installed package on disk, in MB of 1,000,000."""
    spec = importlib.util.find_spec(name)
    assert spec is not None and spec.origin is not None
    home = Path(spec.origin).parent
    if home.name != name:  # of the standard library
        return 0.0
    return sum(path.stat().st_size for path in home.rglob("*") if path.is_file()) / 1e6


def engines(folder: str) -> list[Row]:
    """The table of engines."""
    out: list[Row] = []
    env = lmdb.open(f"{folder}/l", map_size=1 << 28)

    def by_lmdb(keys: list[str]) -> None:
        with env.begin(write=True) as one:
            for key in keys:
                one.put(key.encode(), VALUE)

    fd = os.open(f"{folder}/f", os.O_CREAT | os.O_WRONLY | os.O_APPEND)

    def by_append(keys: list[str]) -> None:
        os.write(fd, VALUE * len(keys))
        os.fdatasync(fd)

    plain = sqlite3.connect(f"{folder}/s", isolation_level=None)
    other = apsw.Connection(f"{folder}/a")
    subjects = {
        f"sqlite3 ({sqlite3.sqlite_version})": ("sqlite3", sql(plain.execute)),
        f"apsw ({apsw.sqlite_lib_version()})": ("apsw", sql(other.execute)),
        f"lmdb ({lmdb.__version__})": ("lmdb", by_lmdb),
        "bare append": ("", by_append),
    }
    figures: dict[str, list[tuple[float, float]]] = {name: [] for name in subjects}
    for _ in range(3):  # by turns
        for name, (_, write) in subjects.items():
            figures[name].append((rows_us(write, 1, 200), rows_us(write, 1000, 10)))
    for name, (package, _) in subjects.items():
        one, many = (sorted(column)[1] for column in zip(*figures[name], strict=True))
        cost = f", import {import_ms(package):.1f} ms, {package_mb(package):.1f} MB" if package else ""
        out.append(Row(name, f"{one:.0f} us a row alone, {many:.2f} in 1,000{cost}"))
    os.close(fd)
    env.close()
    began = time.perf_counter()
    for _ in range(100_000):
        xxhash.xxh3_64_intdigest(VALUE)
    out.append(Row("checksum of a row, xxhash", f"{(time.perf_counter() - began) * 10:.2f} us"))
    return out


# --- the loop ---


class Part:
    """The decider and the store, as a node has them."""

    def __init__(self, store: Store) -> None:
        self.store, self.keeping = store, k.WriteBehind(10_000, 86_400_000)
        self.turns: list[float] = []
        self.timer: asyncio.TimerHandle | None = None

    def tell(self, event: k.Event) -> None:
        """Decide and hand over, timed."""
        began = time.perf_counter()
        loop = asyncio.get_running_loop()
        for action in self.keeping.handle(time.monotonic() * 1000, event):
            if isinstance(action, k.WriteRows):
                changes = [
                    Delete(*at) if row is None else Put(*at, msgspec.msgpack.encode(row))
                    for at, row in action.changes
                ]
                number = action.write_number
                try:
                    self.store.write(changes, lambda stamp, n=number: self.tell(k.WriteCommitted(n)))  # type: ignore[misc]
                except WriteQueueFullError:
                    loop.call_soon(self.tell, k.WriteRejected(number))
            elif isinstance(action, k.BeginGeneration):
                self.store.begin_generation()
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0.0, self.keeping.next_ms() / 1000 - time.monotonic())
        self.timer = loop.call_later(wait, self.tick)
        self.turns.append((time.perf_counter() - began) * 1000)

    def tick(self) -> None:
        """Time went by."""
        self.timer = None
        self.tell(k.TimeAdvanced(time.time_ns() // 1_000_000))


async def watch(late: list[float]) -> None:
    """How late a timer of 1 ms comes, each time, in ms."""
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + 0.001
        await asyncio.sleep(0.001)
        late.append((loop.time() - due) * 1000)


def server(n: int) -> PersistedEndpoint:
    """One of the fleet's."""
    host = f"10.{n >> 8 & 255}.{n & 255}.1"
    return PersistedEndpoint(host, 8080, "zone-a", n % 7, 1.5, False, 1e9, "small", ("platform",))


async def watched(work: Callable[[], object]) -> tuple[str, list[float]]:
    """Carry out coroutine `work` beside the watch; its figures, and how late each turn was."""
    late: list[float] = []
    task = asyncio.get_running_loop().create_task(watch(late))
    await asyncio.sleep(0.05)
    late.clear()
    cpu, began = time.process_time(), time.perf_counter()
    await work()  # type: ignore[misc]
    took, used = time.perf_counter() - began, time.process_time() - cpu
    task.cancel()
    over = sum(one > 5 for one in late)
    worst = f"stall {max(late):.1f} ms at most, {part_of(late, 0.99):.1f} at p99, {over} over 5 ms"
    return f"{worst}; {took:.2f} s, CPU {used:.2f} s", late


async def loop_rows(servers: int, seconds: float, folder: str) -> list[Row]:
    """The loop's table."""
    out = [Row("nothing written", (await watched(lambda: asyncio.sleep(seconds)))[0])]
    for name, slow in (("disk", 0.0), ("disk of 1 s a sync", 1.0)):
        disk = SimulatedDisk()
        files = SimulatedFileSystem(disk) if slow else None
        loop = asyncio.get_running_loop()
        store = Store("/d" if slow else folder, loop.call_soon_threadsafe, files, URGENT_TABLES)
        await asyncio.to_thread(store.open)
        disk.sync_duration_s = slow
        part = Part(store)
        part.tell(k.StoreOpened(NodeIdentity("id", "n0", 1, 0), {}, 0, time.time_ns() // 1_000_000))

        async def view(part: Part = part) -> None:
            for at in range(0, servers, SLICE):
                told = tuple((f"s{n}", server(n)) for n in range(at, min(servers, at + SLICE)))
                part.tell(k.EndpointsChanged("platform", "x", 1, time.time_ns() // 1_000_000, told))
                await asyncio.sleep(0)
            while part.keeping.state.dirty or part.keeping.state.in_flight:
                await asyncio.sleep(0.01)

        async def storm(part: Part = part) -> None:
            rng, until = random.Random(1), time.monotonic() + seconds
            for n in range(int(seconds * 200)):
                wall = time.time_ns() // 1_000_000
                names = [rng.randrange(servers) for _ in range(5)]
                told = tuple((f"s{i}", server(i)) for i in names[:4])
                part.tell(k.EndpointsChanged("platform", "x", n + 2, wall, told, (f"s{names[4]}",)))
                await asyncio.sleep(max(0, until - seconds + n / 200 - time.monotonic()))

        for what, work in (("a first view", view), ("1,000 changes a second", storm)):
            part.turns.clear()
            before = store.status().commit_count
            said, _ = await watched(work)
            turn = f"turn {max(part.turns):.2f} ms at most"
            count = store.status().commit_count - before
            out.append(Row(f"{what}, {name}", f"{said}; {turn}; {count} commits", "no stall over 5 ms"))
        if part.timer is not None:
            part.timer.cancel()
        if not slow:
            said, _ = await watched(partial(asyncio.to_thread, generation, store))
            out.append(Row("a generation", said, "no stall over 5 ms"))
        await asyncio.to_thread(store.close, 10.0)
    began = time.perf_counter()
    again = Store(folder, lambda run: run())
    found = again.open()
    opened = (time.perf_counter() - began) * 1000
    tables = {name: again.items(name) for name in again.engine.tables}
    memory = restore(
        tables,
        found.restored_generation,
        found.is_outdated,
        found.committed_at_ms,
        "n0",
        time.time_ns() // 1_000_000,
        1e9,
    )
    read = (time.perf_counter() - began) * 1000 - opened
    generation(again)
    wrote = (time.perf_counter() - began) * 1000 - opened - read
    size = sum(path.stat().st_size for path in Path(folder).iterdir()) / 1e6
    again.close()
    what = f"{opened:.0f} ms to open, {read:.0f} ms to read, then {wrote:.0f} ms for a new generation"
    what += f"; {size:.1f} MB on disk"
    return [*out, Row(f"the next start ({len(memory.endpoints)} servers)", what)]


def generation(store: Store) -> None:
    """Have one written, and wait for it."""
    number = store.engine.generation
    store.begin_generation()
    while store.engine.generation == number:
        time.sleep(0.005)


def main(argv: Sequence[str] | None = None) -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description="engines, and what keeping costs the loop")
    parser.add_argument("--servers", type=int, default=10_000)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--core", type=cores, default=set())
    words = parser.parse_args(argv)
    with on(words.core), tempfile.TemporaryDirectory(dir=".") as folder:
        rows = engines(folder)
        home = Path(folder) / "state"
        home.mkdir()
        print("\n".join(table("Engines", rows)))
        rows = asyncio.run(loop_rows(words.servers, words.seconds, str(home)))
        print("\n".join(table(f"The loop, {words.servers:,} servers", rows)))
        print(f"peak memory {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000:.0f} MB")


if __name__ == "__main__":
    main()
