"""Seeded soak runs: nodes under difficult clients, faulty backends and lists, and series of signals.

    result = await play(draw(seed=7), directory)
    assert not result.faults()

A run is a small cluster with drawn limits. Beside its load, clients of `memory_load` get stuck in requests,
do not read, or leave; some runs have a crowd of them. Clients of a node that is told to end go on using the
connections that they have until SIGKILL, which comes at the earliest that the protocol's page allows. The
invariant checker judges all requests; further, a process may not exceed its memory limit or end by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from balancer.core.connection_admission import MAX_FORWARDED_BODY_BYTES
from balancer.interface import Idempotency
from balancer.testbed.backend_emulator import Machine
from balancer.testbed.cluster import ROOT, Node, World
from balancer.testbed.event_log import Asked, Received, Record
from balancer.testbed.invariant_checker import Verdict, judge
from balancer.testbed.load_generator import Habits
from balancer.testbed.memory_load.clients import Behavior, ClientPlan
from balancer.testbed.memory_load.measurement import memory_mb, program
from balancer.testbed.service_profile import RequestClass, Site

SECONDS = 9.0
SAMPLE_INTERVAL_S = 0.02  # between two looks at the memory of a process
NEW_CONNECTIONS_S = 0.3  # after SIGTERM, for which new connections go on coming
KILL_MARGIN_S = 0.7  # after the longest deadline of the deployment
MAX_COUNTED_DEADLINE_S = 3.0  # of it, on the protocol's page
STUCK_PREFIX = "stuck"  # of the ids of requests of difficult clients
LEFT_ALONE = 3  # backends that nothing happens to
SUCCESS_CODES = (0, -signal.SIGKILL)
USUAL_BEHAVIORS = (
    Behavior.MANY_FIELDS,
    Behavior.LONG_FIELD,
    Behavior.LONG_TARGET,
    Behavior.SLOW_HEAD,
    Behavior.SMALL_BODY,
    Behavior.LARGE_BODY,
    Behavior.SLOW_BODY,
    Behavior.SMALL_CHUNKS,
    Behavior.TRAILERS,
    Behavior.CHUNK_EXTENSIONS,
    Behavior.WHOLE_SMALL,
    Behavior.WHOLE_LARGE,
    Behavior.UNREAD,
    Behavior.LEAVING,
    Behavior.IDLE,
)

Act = Callable[["Run"], Awaitable[object] | object]


@dataclass(frozen=True)
class Incident:
    """Something that happens at a time of a run."""

    at_s: float
    text: str
    act: Act


@dataclass(frozen=True)
class Plan:
    """One run, as drawn from its seed."""

    seed: int
    memory_mb: int
    sockets: int
    node_count: int
    backend_count: int
    machine: Machine
    site: Site
    habits: Habits
    rate_per_s: float
    difficult_clients: dict[Behavior, int]  # of each node
    incidents: tuple[Incident, ...]
    seconds: float = SECONDS

    def lines(self) -> list[str]:
        """Return the plan in words."""
        clients = ", ".join(f"{count} {behavior}" for behavior, count in self.difficult_clients.items())
        head = (
            f"seed {self.seed}: {self.node_count} nodes with {self.memory_mb} MB and {self.sockets} sockets, "
            f"{self.backend_count} backends, {self.rate_per_s:.0f} requests/s; clients: {clients}"
        )
        return [head, *(f"  {incident.at_s:5.2f} s  {incident.text}" for incident in self.incidents)]

    @property
    def kill_after_s(self) -> float:
        """The earliest time after SIGTERM at which SIGKILL may come."""
        longest_s = max(request_class.give_up_ms for request_class in self.site.classes) / 1000
        return min(longest_s, MAX_COUNTED_DEADLINE_S) + KILL_MARGIN_S


@dataclass
class Result:
    """What came of a run."""

    plan: Plan
    verdict: Verdict
    peak_mb: float
    exit_codes: list[int]
    log_faults: list[str]

    def faults(self) -> list[str]:
        """Return everything that must not be."""
        found = [line for breach in self.verdict.breaches for line in breach.lines()]
        if self.peak_mb > self.plan.memory_mb:
            found.append(f"a process held {self.peak_mb:.1f} MB of {self.plan.memory_mb}")
        found += [f"a node ended with {code}" for code in self.exit_codes if code not in SUCCESS_CODES]
        return found + self.log_faults

    def __str__(self) -> str:
        total = self.verdict.classes["all"]
        return (
            f"seed {self.plan.seed}: peak {self.peak_mb:.1f} of {self.plan.memory_mb} MB, "
            f"{total.asked} requests: {total.in_time} in time, {total.late} late, {total.refused} rejected, "
            f"{total.failed} failed, {total.left} left; faults: {len(self.faults())}"
        )


@dataclass
class Run:
    """A running plan: the cluster, and what is seen of its processes."""

    plan: Plan
    world: World
    peak_mb: float = 0.0
    exit_codes: list[int] = field(default_factory=list)

    async def sample_memory(self) -> None:
        """Follow the memory of all nodes."""
        while True:
            for node in self.world.nodes:
                if node.process is not None and node.process.returncode is None:
                    self.peak_mb = max(self.peak_mb, memory_mb(node.process.pid, "VmHWM"))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def run_difficult_clients(self, node: Node) -> None:
        """Run the difficult clients of a node, as a process of their own."""
        keyed = self._class_name(Idempotency.KEYED)
        plan = ClientPlan(
            node.host,
            node.port,
            f"/{keyed}/x",
            f"/{self._class_name(Idempotency.IDEMPOTENT)}/x",
            self.plan.seconds,
            self.plan.seed,
            self.plan.difficult_clients,
            f"{STUCK_PREFIX}-{node.name}",
        )
        name = "balancer.testbed.memory_load.clients"
        async with program(name, plan.to_json(), stdout=asyncio.subprocess.PIPE) as process:
            assert process.stdout is not None
            json.loads(await process.stdout.readline())

    def _class_name(self, effect: Idempotency) -> str:
        return next(c.name for c in self.plan.site.classes if c.effect is effect)

    async def end(self, node: Node, further: tuple[tuple[float, signal.Signals], ...]) -> None:
        """Tell a node to end, with further signals that follow; SIGKILL comes as early as it may."""
        if node.process is None or node.process.returncode is not None:
            return
        process, was_ready = node.process, node.name in self.world.front.nodes
        node.terminate()
        async with asyncio.TaskGroup() as tasks:
            for delay_s, number in further:
                tasks.create_task(self._signal_later(node, delay_s, number))
            tasks.create_task(self._stop_connecting(node))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.plan.kill_after_s):
                    await process.wait()
        if process.returncode is None:
            node.kill()
        code = await process.wait()
        if was_ready or code != -signal.SIGTERM:  # a process that starts has no handler yet
            self.exit_codes.append(code)

    async def _signal_later(self, node: Node, delay_s: float, number: signal.Signals) -> None:
        await asyncio.sleep(delay_s)
        if number == signal.SIGHUP:
            node.reload()
        else:
            node.signal(number)

    async def _stop_connecting(self, node: Node) -> None:
        await asyncio.sleep(NEW_CONNECTIONS_S)
        self.world.front.nodes.pop(node.name, None)

    async def restart(self, node: Node, further: tuple[tuple[float, signal.Signals], ...]) -> None:
        """End a node as planned, and start it again."""
        await self.end(node, further)
        await node.start()

    async def kill(self, node: Node, down_s: float) -> None:
        """Kill a node outright, and start it again."""
        node.kill()
        await node.ended()
        await asyncio.sleep(down_s)
        await node.start()

    async def hold_up(self, node: Node, duration_s: float) -> None:
        """Stop the process of a node for some time."""
        node.stand()
        await asyncio.sleep(duration_s)
        node.go_on()


class _Draft:
    """Draws the incidents of a run, and knows which backends and nodes they already happen to."""

    def __init__(self, rng: random.Random, node_count: int, backend_count: int, kill_after_s: float) -> None:
        self.rng, self.node_count, self.kill_after_s = rng, node_count, kill_after_s
        self.untouched = [f"s{number}" for number in range(1, backend_count + 1)]
        rng.shuffle(self.untouched)
        self.busy_until_s = [0.0] * node_count
        self.incidents: list[Incident] = []

    def add(self, at_s: float, text: str, act: Act) -> None:
        """Add an incident."""
        self.incidents.append(Incident(at_s, text, act))

    def backend(self) -> str | None:
        """Return a backend that nothing has happened to, if enough of them are left."""
        return self.untouched.pop() if len(self.untouched) > LEFT_ALONE else None

    def signals_in_series(self) -> tuple[tuple[float, signal.Signals], ...]:
        """Draw what follows a SIGTERM."""
        numbers = self.rng.choices((signal.SIGTERM, signal.SIGHUP), k=self.rng.choice((0, 1, 3, 6)))
        return tuple((self.rng.uniform(0.0, 1.0), number) for number in numbers)

    def draw_backend_fault(self, at_s: float) -> None:
        """A backend becomes slow or failing, hangs, vanishes, dies, drains or leaves the list."""
        if (name := self.backend()) is None:
            return
        end_s = at_s + self.rng.uniform(0.3, 2.0)
        match self.rng.randrange(7):
            case 0:
                factor = self.rng.uniform(3.0, 12.0)
                self.add(at_s, f"{name} is slow by {factor:.0f}", lambda r: r.world.fleet[name].slow(factor))
            case 1:
                self.add(at_s, f"{name} fails", lambda r: r.world.fleet[name].fail(0.5))
            case 2:
                self.add(at_s, f"{name} hangs", lambda r: r.world.fleet[name].hang())
                self.add(end_s, f"{name} goes on", lambda r: r.world.fleet[name].resume())
            case 3:
                self.add(at_s, f"{name} vanishes", lambda r: r.world.fleet[name].vanish())
            case 4:
                self.add(at_s, f"{name} dies", lambda r: r.world.die(name, notice_s=0.5))
                self.add(end_s + 0.6, f"{name} returns cold", lambda r: r.world.come(name))
            case 5:
                self.add(at_s, f"{name} drains", lambda r: r.world.drain(name))
            case 6:
                self.add(at_s, f"{name} is removed", lambda r: r.world.remove(name))

    def draw_list_fault(self, at_s: float) -> None:
        """The discovery of a node drops its watches, stalls, is silent, refuses, or sends an old list."""
        node = f"n{self.rng.randrange(self.node_count)}"
        end_s = at_s + self.rng.uniform(0.2, 2.0)
        match self.rng.randrange(5):
            case 0:
                self.add(at_s, f"{node}: watches drop", lambda r: r.world.discovery.agents[node].drop())
            case 1:
                self.add(at_s, f"{node}: watches stall", lambda r: r.world.discovery.agents[node].stall(True))
                self.add(end_s, "they go on", lambda r: r.world.discovery.agents[node].stall(False))
            case 2:
                self.add(
                    at_s, f"{node}: discovery silent", lambda r: r.world.discovery.agents[node].silence(True)
                )
                self.add(end_s, "it answers", lambda r: r.world.discovery.agents[node].silence(False))
            case 3:
                self.add(
                    at_s, f"{node}: discovery refuses", lambda r: r.world.discovery.agents[node].refuse(True)
                )
                self.add(end_s, "it listens", lambda r: r.world.discovery.agents[node].refuse(False))
            case 4:
                self.add(at_s, f"{node}: garbage", lambda r: r.world.discovery.agents[node].garble())

    def draw_node_fault(self, at_s: float) -> None:
        """A node is reloaded several times, held up, killed, or told to end and started again."""
        index = self.rng.randrange(self.node_count)
        if at_s < self.busy_until_s[index]:
            return
        match self.rng.randrange(4):
            case 0:
                count = self.rng.randint(1, 5)
                for number in range(count):
                    self.add(
                        at_s + 0.05 * number, f"n{index} reloads", lambda r: r.world.nodes[index].reload()
                    )
            case 1:
                duration_s = self.rng.choice((0.05, 0.15, 1.5))
                self.busy_until_s[index] = at_s + duration_s + 0.5
                self.add(
                    at_s,
                    f"n{index} is held up for {duration_s:g} s",
                    lambda r: r.hold_up(r.world.nodes[index], duration_s),
                )
            case 2:
                self.busy_until_s[index] = at_s + 2.0
                self.add(at_s, f"n{index} is killed", lambda r: r.kill(r.world.nodes[index], 0.3))
            case 3:
                further = self.signals_in_series()
                self.busy_until_s[index] = at_s + self.kill_after_s + 1.5
                names = " ".join(number.name for _, number in further)
                self.add(
                    at_s,
                    f"n{index} restarts: SIGTERM {names}",
                    lambda r: r.restart(r.world.nodes[index], further),
                )


def _draw_site(rng: random.Random) -> Site:
    """Draw the deadlines of the classes: SIGKILL comes the sooner, the shorter they are."""
    factor = rng.choice((1.0, 1.0, 0.5))
    classes = tuple(
        RequestClass(
            c.name,
            c.effect,
            c.aim_ms * factor,
            c.give_up_ms * factor,
            c.worth,
            c.share,
            c.work_ms * factor,
            c.spread,
            c.group,
            c.memory_ms,
        )
        for c in Site().classes
    )
    return Site(classes=classes)


def _draw_clients(rng: random.Random) -> dict[Behavior, int]:
    """Draw the difficult clients of a node: a mix of some, or a crowd of one or two behaviors."""
    if rng.random() < 0.3:
        crowd = rng.sample(USUAL_BEHAVIORS, rng.choice((1, 2)))
        return {behavior: rng.choice((300, 600)) // len(crowd) for behavior in crowd}
    mix = rng.sample(USUAL_BEHAVIORS, rng.randint(3, 7))
    return {behavior: rng.choice((5, 20, 60)) for behavior in mix}


def draw(seed: int, seconds: float = SECONDS) -> Plan:
    """Return the plan of a seed."""
    rng = random.Random(f"soak:{seed}")
    site = _draw_site(rng)
    node_count, backend_count = rng.choice((1, 1, 2)), rng.randint(6, 14)
    memory, sockets = rng.choice((48, 48, 64, 192)), rng.choice((1024, 1024, 512))
    habits = Habits(leaves=rng.choice((0.0, 0.05, 0.2)), leaves_by=("close", "reset", "half"))
    clients = _draw_clients(rng)
    plan = Plan(
        seed,
        memory,
        sockets,
        node_count,
        backend_count,
        Machine(
            cores=2,
            speed=rng.choice((0.5, 1.0)),
            drops=rng.random() < 0.5,
            max_body_bytes=MAX_FORWARDED_BODY_BYTES,
        ),
        site,
        habits,
        rng.choice((20.0, 40.0, 60.0)),
        clients,
        (),
        seconds,
    )
    draft = _Draft(rng, node_count, backend_count, plan.kill_after_s)
    last_s = seconds - 1.0
    for _ in range(rng.randint(2, 6)):
        draft.draw_backend_fault(rng.uniform(0.5, last_s))
    for _ in range(rng.randint(0, 3)):
        draft.draw_list_fault(rng.uniform(0.5, last_s))
    for at_s in sorted(rng.uniform(0.8, last_s - plan.kill_after_s) for _ in range(rng.randint(1, 3))):
        draft.draw_node_fault(at_s)
    incidents = tuple(sorted(draft.incidents, key=lambda incident: incident.at_s))
    return Plan(**{**plan.__dict__, "incidents": incidents})


async def play(plan: Plan, directory: Path, checkout: Path = ROOT) -> Result:
    """Run a plan in a cluster of its own, with the nodes of a checkout; `directory` takes its files."""
    directory.mkdir(parents=True, exist_ok=True)
    world = World(
        directory,
        site=plan.site,
        seed=plan.seed,
        nodes=plan.node_count,
        servers=plan.backend_count,
        machine=plan.machine,
        habits=plan.habits,
        program=checkout,
    )
    world.memory_limit_mb, world.descriptor_limit = plan.memory_mb, plan.sockets
    async with world:
        run = Run(plan, world)
        sampling = asyncio.create_task(run.sample_memory())
        async with asyncio.TaskGroup() as tasks:
            for node in world.nodes:
                tasks.create_task(run.run_difficult_clients(node))
            for incident in plan.incidents:
                tasks.create_task(_act(run, incident))
            tasks.create_task(_end_all(run))
            await world.play(plan.rate_per_s, plan.seconds)
        sampling.cancel()
        log_faults = [
            f"{node.name}: {line}"
            for node in world.nodes
            for line in node.log
            if "Traceback" in line or "decision on" in line
        ]
        verdict = judge(list(_records(world)), plan.site)
        return Result(plan, verdict, run.peak_mb, run.exit_codes, log_faults)


async def _act(run: Run, incident: Incident) -> None:
    await asyncio.sleep(incident.at_s)
    done = incident.act(run)
    if isinstance(done, Awaitable):
        await done


async def _end_all(run: Run) -> None:
    """Tell all nodes to end so early that the last SIGKILL comes as the clients end."""
    await asyncio.sleep(run.plan.seconds - run.plan.kill_after_s)
    async with asyncio.TaskGroup() as tasks:
        for node in run.world.nodes:
            tasks.create_task(run.end(node, ()))


def _records(world: World) -> Iterator[Record]:
    """Return what was recorded; what backends got of the difficult clients counts as asked for."""
    known = set[str]()
    for record in world.journal:
        if isinstance(record, Received) and record.request.startswith(STUCK_PREFIX):
            if record.request not in known and record.last_byte_at_ms is not None:
                known.add(record.request)
                yield _asked(record)
            elif record.request not in known:
                continue  # an attempt whose last byte never came
        yield record


def _asked(received: Received) -> Asked:
    node = received.request.split("-")[1]
    class_name = received.form.split()[1].strip("/").partition("/")[0]
    return Asked(
        received.request,
        received.request,
        node,
        class_name,
        received.key,
        "",
        received.form,
        received.first_byte_at_ms,
        float("inf"),
    )
