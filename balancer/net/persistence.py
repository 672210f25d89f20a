"""A node's memory over restarts: what `[state]` switches on, off and over while the node runs.

- `StatePart` follows the settings: one `Memory` for the directory that is wanted, tried again where it cannot
  be had. The directory is opened and read off the loop: `/up` never waits for a disk. Requests do, HELD s at
  most at the start: the configuration's list may name servers that this node had seen the end of.
- `Memory` hands what was kept to the merge and to the decision module, then writes what changes: names whose
  row may differ wait in a queue and are looked at SLICE in one turn, removals and drains first.

Where nothing can be kept the node serves on without memory: one line in the log for each fault and one when
it is over, and `balancer recovery` says it as `store`. Bounds: a queue of names, a row a server.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import threading
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from balancer import interface as api
from balancer.core import recovery
from balancer.core.discovery import endpoint_merger as membership
from balancer.core.persistence import persisted_state as kept
from balancer.core.persistence import write_behind as k
from balancer.core.persistence.persisted_state import (
    Recalled,
    Server,
    recall,
    successor,
    without_ended,
)
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.net.clock import wall_ms
from balancer.net.component import PEERS, Running
from balancer.operator_settings import Operators, StateSettings
from balancer.store.engine import (
    Change,
    Delete,
    Opened,
    Put,
)
from balancer.store.files import Files, StoreFault, Trouble
from balancer.store.store import Store, StoreFull

log = logging.getLogger(__name__)
T = TypeVar("T")

SLICE = 250  # servers in one turn of the loop
AGAIN = 5.0  # s until a directory that could not be had is tried again
LEARN_MS = 1_000.0  # from the start on, within which what was learned still goes before what is
HELD = 1.5  # s at most that requests wait at the start for what was kept: under the grace of drains
CLOSE = 2.0  # s that the end of a node waits for its disk
LOOK = 1.0  # s between two looks at how the store does
NOBODY = "?"  # the source of an end that no source told
LONGEST = 256  # characters of a name
OFTEN = 1_000  # servers of a source that may be looked at with each change: 0.1 ms
MOST = 1 << 61  # of a cell's number


def _wall() -> int:
    return int(wall_ms())


class Opening:
    """Work on a thread of its own, which holds up neither the loop nor the end of the process."""

    def __init__(self, work: Callable[[], object]) -> None:
        self._work, self._loop = work, asyncio.get_running_loop()
        self.done: asyncio.Future[Any] = self._loop.create_future()
        threading.Thread(target=self._run, name="state", daemon=True).start()

    def _run(self) -> None:
        found: object = None
        error: BaseException | None = None
        try:
            found = self._work()
        except BaseException as err:
            error = err
        with contextlib.suppress(RuntimeError):  # the loop is closed: nobody waits any more
            self._loop.call_soon_threadsafe(self._tell, found, error)

    def _tell(self, found: object, error: BaseException | None) -> None:
        if self.done.cancelled():
            return
        if error is None:
            self.done.set_result(found)
        else:
            self.done.set_exception(error)


class StatePart:
    """Keeps the memory where the settings want it."""

    def __init__(self, running: Running, files: Callable[[], Files] | None = None) -> None:
        """`files` makes the store's file layer, the machine's own unless a test has another."""
        self.running, self.files = running, files
        self.memory: Memory | None = None
        self.trouble = ""  # why there is none
        self._wanted: StateSettings | None = None
        self._moving: asyncio.Task[None] | None = None
        self._first = True  # no directory was had yet: what it holds is this node's past
        self.loop = asyncio.get_running_loop()
        if running.recovery is not None:
            running.recovery.store, running.recovery.keep = self.report, self._keep
            if not running.recovery.began:  # the configuration's list may name whom this node saw the end of
                running.node.wait(True)
                running.fleet.listeners.append(self._heard)
                self.loop.call_later(HELD, self._go_on)

    def apply(self, settings: Operators) -> None:
        """Move to another directory, or to none, in the loop's next turns."""
        was, self._wanted = self._wanted, settings.state
        if was is not None and settings.state is not None and was.directory == settings.state.directory:
            if self.memory is not None:
                self.memory.set(settings.state)
            return
        if was is not settings.state:
            self.trouble = "being opened" if self._wanted is not None else ""
            before, self._moving = self._moving, self.loop.create_task(self._move(self._moving))
            if before is not None:
                before.cancel()  # it may wait for a disk that says nothing

    def _heard(self, event: membership.Event, actions: list[membership.Action]) -> None:
        """Where all sources have spoken, memory has nothing to say on whom to leave alone."""
        sources = self.running.fleet.membership.sources.values()
        saved = isinstance(event, membership.Listed) and event.saved
        if not saved and all(s.state is membership.State.IN_SYNC and not s.remembered for s in sources):
            self._go_on()

    def _go_on(self) -> None:
        self.running.node.wait(False)
        if self._heard in self.running.fleet.listeners:
            # Not while they are told.
            self.loop.call_soon(self._unheard)

    def _unheard(self) -> None:
        if self._heard in self.running.fleet.listeners:
            self.running.fleet.listeners.remove(self._heard)

    def _keep(self, incarnation: int) -> None:
        if self.memory is not None:
            self.memory.rose(incarnation)

    async def close(self) -> None:
        """Write what waits, for a bounded time, and let go."""
        self._wanted = None
        self._unheard()
        if self._moving is not None:
            self._moving.cancel()
            await asyncio.gather(self._moving, return_exceptions=True)
        await self._let_go()

    def report(self) -> dict[str, Any]:
        """What `balancer recovery` says of the store."""
        directory = None if self._wanted is None else str(self._wanted.directory)
        if self.memory is None:
            return {"directory": directory, "open": False, "trouble": self.trouble or None}
        state = self.memory.store.state()
        slow = f"a write has taken {state.slow_ms / 1000:.0f} s so far" if state.slow_ms else ""
        return {
            "directory": directory,
            "open": True,
            "trouble": state.reason or slow or None,
            "waiting": state.waiting,
            "turned_away": state.turned_away,
            "commits": state.commits,
            "failures": state.failures,
        }

    async def _let_go(self) -> None:
        memory, self.memory = self.memory, None
        if memory is not None:
            await memory.close()

    async def _move(self, before: asyncio.Task[None] | None) -> None:
        """Let the old directory go and take the new one, as often as it needs."""
        if before is not None:
            await asyncio.gather(before, return_exceptions=True)
        await self._let_go()
        wanted, said = self._wanted, ""
        while wanted is not None:
            memory = Memory(self.running, wanted, self.files)
            try:
                await memory.open(self._first)
            except StoreFault as fault:
                self._go_on()
                self.trouble = str(fault)
                foreign = fault.trouble is Trouble.FOREIGN  # another node's: it is not touched again
                if said != self.trouble:
                    then = "" if foreign else f", it is tried again every {AGAIN:g} s"
                    log.error("state: %s; the node serves without memory%s", fault, then)
                said = self.trouble
                self._without(self.trouble)
                if foreign:
                    return
                await asyncio.sleep(AGAIN)
                continue
            except Exception as err:  # guards the node against a fault of this program's
                self._go_on()
                log.exception("state: failed; the node serves without memory")
                self.trouble = repr(err)
                self._without(self.trouble)
                return
            if said:
                log.warning("state: %s is had now", wanted.directory)
            self.memory, self.trouble, self._first = memory, "", False
            if self.running.recovery is not None:  # it may have risen before the directory was had
                self._keep(self.running.recovery.recovery.incarnation)
            self._go_on()
            if self._wanted is not None:
                memory.set(self._wanted)  # other figures may be wanted by now
            return

    def _without(self, fault: str) -> None:
        if self.running.recovery is not None:
            self.running.recovery.begin(None, fault)


class Memory:
    """One directory, from `open` to `close`."""

    def __init__(
        self, running: Running, settings: StateSettings, files: Callable[[], Files] | None = None
    ) -> None:
        self.running, self.node, self.fleet = running, running.node, running.fleet
        self.max_age_ms = 1000.0 * settings.max_age
        self.keeping = k.Keeping(1000.0 * settings.every, self.max_age_ms)
        self.loop = asyncio.get_running_loop()
        self.store = Store(
            str(settings.directory),
            self.loop.call_soon_threadsafe,
            None if files is None else files(),
            kept.URGENT,
            _wall,
        )
        self.began_ms = self.node.now()
        self._rows: dict[str, Server] = {}  # as they are kept, without order and times
        self._members: dict[
            str, list[EndpointRecord]
        ] = {}  # whom each source had listed, until it is handed over
        self._ages: dict[str, float] = {}  # the most of them
        self._queue: dict[str, str] = {}  # names to look at, and the source whose word it was
        self._first: dict[str, str] = {}  # those of them that leave
        self._last = NOBODY
        self._whole: dict[str, tuple[str, int]] = {}  # how far each source is told, changes and all
        self._checked: dict[str, float] = {}  # when that is looked at next
        self._odd = self._closed = False
        self._working = False
        self._timer: asyncio.TimerHandle | None = None
        self._watch: asyncio.TimerHandle | None = None
        self._trouble = ""

    def set(self, settings: StateSettings) -> None:
        """Other figures hold from now on."""
        self.max_age_ms = self.keeping.max_age_ms = 1000.0 * settings.max_age
        self.keeping.every_ms = 1000.0 * settings.every

    def rose(self, incarnation: int) -> None:
        """Keep that the node goes by this number, if that is a greater one."""
        self._tell(k.Rose(incarnation))

    # --- the start

    async def open(self, first: bool) -> None:
        """Take the directory and read it; raises StoreFault. `first`: it holds this node's own past."""
        opening = Opening(self._load)
        try:
            found, recalled = await opening.done
        except asyncio.CancelledError:
            Opening(self.store.close)  # once it is open, if ever; the lock goes with the process
            raise
        for line in recalled.said:
            log.warning("state: %s", line)
        if recalled.foreign:
            await Opening(self.store.close).done
            raise StoreFault(Trouble.FOREIGN, self.store.engine.directory, recalled.said[-1])
        for fault in found.faults:
            log.warning("state: not believed: %s", fault)
        me = successor(recalled, self.running.name, os.urandom(16).hex(), found.generation, _wall())
        self._tell(k.Started(me, recalled.rows, recalled.order, _wall()))
        try:
            await asyncio.sleep(0)  # thousands of rows have had their turn
            if first:
                self._begin(found, recalled, me.incarnation)
            self._members.clear()
            # Guards against taking whom the merge has not looked at yet for gone.
            while any(source.pending for source in self.fleet.membership.sources.values()):
                await asyncio.sleep(0)
        except asyncio.CancelledError:
            self._closed = True
            Opening(self.store.close)
            raise
        if first and self.node.now() - self.began_ms <= LEARN_MS:
            self._learn(recalled)
        self.fleet.listeners.append(self._heard)
        self._sync(recalled if first else None)
        self._look()

    def _load(self) -> tuple[Opened, Recalled]:
        """Blocks. What takes long for a large list is done here, too, and not on the loop."""
        found = self.store.open()
        try:
            tables = {table: self.store.items(table) for table in kept.TABLES}
            name = self.running.name
            recalled = recall(
                tables, found.found, found.older, found.wrote_ms, name, _wall(), self.max_age_ms
            )
            rows = {key: row for key, row in recalled.rows.get("view", {}).items() if isinstance(row, Server)}
            rows |= {key: one.server for key, one in recalled.view.items()}
            self._rows = {key: _plain(row) for key, row in rows.items()}
            self._members = {name: [] for name in recalled.sources}
            for key, one in recalled.view.items():
                for name in self._members.keys() & one.server.sources:
                    self._members[name].append(_member(key, one.server, name, recalled.ends.get(key)))
                    self._ages[name] = max(self._ages.get(name, 0.0), one.age_ms)
        except BaseException:
            self.store.close()
            raise
        return found, recalled

    def _begin(self, found: Opened, recalled: Recalled, incarnation: int) -> None:
        """Hand over what may be believed."""
        if (meter := self.running.recovery) is not None:
            told, fault = None, ""
            if recalled.me is not None:
                older = recalled.memory == "older"
                told = recovery.Kept(recalled.me.incarnation, float(found.wrote_ms), older)
            elif recalled.memory == "lost":
                fault = "; ".join(str(one) for one in found.faults) or recalled.said[-1]
            meter.begin(told, fault, incarnation, float(_wall()))
        for name, kept_source in recalled.sources.items():
            if (listed := self._listed(name, kept_source, recalled)) is not None:
                count, age = len(listed.listing.records), listed.age_ms / 1000
                log.info("state: %s listed %d servers %.0f s ago", name, count, age)
                self.fleet.hand(listed)

    def _listed(self, name: str, told: kept.Source, recalled: Recalled) -> membership.Listed | None:
        """A source's list as it is remembered, where the source itself has not said as much by now."""
        source = self.fleet.membership.sources.get(name)
        if source is None:
            return None
        identity, revision = told.identity, told.revision
        if source.revision is None:
            if source.identity is not None and source.identity != identity:  # it has moved since
                identity, revision = source.identity, -1
        elif source.identity != identity or revision <= source.revision:
            return self._less(source, identity, revision, recalled)
        ends = recalled.ends
        others = len(self.fleet.membership.sources) > 1
        gone = tuple(key for key, end in ends.items() if end.gone and end.source == name) if others else ()
        members = tuple(self._members.pop(name))
        if not members and (not gone or self._aged(name, recalled)):
            return self._less(source, identity, revision, recalled)
        age_ms = self._ages.get(name, 0.0)
        self._whole[name] = identity, revision
        return membership.Listed(name, identity, EndpointList(revision, True, members, gone), True, age_ms)

    @staticmethod
    def _aged(name: str, recalled: Recalled) -> bool:
        """Whether it listed servers that are not believed any more."""
        rows = recalled.rows.get("view", {}).items()
        return any(
            isinstance(row, Server) and name in row.sources and key not in recalled.view for key, row in rows
        )

    @staticmethod
    def _less(
        source: membership.Source, identity: str, revision: int, recalled: Recalled
    ) -> membership.Listed | None:
        """Where the list that was kept is not to be had: the one that is there, but for later ends."""
        order = source.identity or identity
        if not order or identity not in ("", order):
            return None
        rows = recalled.rows.get("view", {}).items()
        names = {key for key, row in rows if isinstance(row, Server) and source.name in row.sources}
        newer = source.revision is not None and revision > source.revision
        seen = (revision, names) if newer else None
        left = without_ended(source.members, source.revision, recalled.ends, source.name, seen)
        return None if left is None else membership.Listed(source.name, order, left, True)

    def _learn(self, recalled: Recalled) -> None:
        if not (recalled.usual or recalled.limit or recalled.weights or recalled.ejections):
            return
        at = [row.at_ms for row in recalled.usual.values()] + [row.at_ms for row in recalled.weights.values()]
        at += [] if recalled.limit is None else [recalled.limit.at_ms]
        age = max([0.0, *(float(_wall() - one) for one in at)]) + recalled.clock_behind_ms
        learned = api.LearnedState(
            {name: (row.usual_ms, row.dev_ms) for name, row in recalled.usual.items()},
            recalled.limit.limit if recalled.limit is not None else self.node.balancer.limit,
            {name: row.slow for name, row in recalled.weights.items()},
            {name: left + age for name, left in recalled.ejections.items()},
        )
        self.node.event(api.LearnedStateRestored(learned, age))

    def _sync(self, recalled: Recalled | None) -> None:
        """What changed while the directory was not had."""
        view, sources = self.fleet.membership.view, self.fleet.membership.sources
        for name in sorted(self._rows.keys() - view.keys()):
            by = self._rows[name].sources[:1] if recalled is None or name in recalled.view else ()
            heard = by and by[0] in sources and sources[by[0]].state is not membership.State.UNHEARD
            self._first[name] = by[0] if heard else NOBODY
        self._queue |= dict.fromkeys(view, NOBODY)
        for source in reversed(sources.values()):  # the first that lists it
            self._queue |= dict.fromkeys(source.members.keys() & view.keys(), source.name)
        self._soon()

    # --- what changes

    def _heard(self, event: membership.Event, actions: list[membership.Action]) -> None:
        if isinstance(event, membership.Listed):
            self._last = NOBODY if event.source == PEERS else event.source
        for action in actions:
            if isinstance(action, membership.Apply):
                up, members = api.Phase.UP, action.members
                for member in action.removed:
                    self._first[member.id] = self._last
                leaving = [m.endpoint.id for m in members if m.endpoint.phase is not up]
                self._first |= dict.fromkeys(leaving, self._last)
                rest = [m.endpoint.id for m in members if m.endpoint.phase is up]
                self._queue |= dict.fromkeys(rest, self._last)
        if self._first or self._queue:
            if not self._working:
                self._soon()
        elif isinstance(event, (membership.Listed, membership.Heard, membership.Continued)):
            for name, source in self.fleet.membership.sources.items():
                if isinstance(event, membership.Continued) or name == event.source:
                    self._confirm(name, source)

    def _confirm(self, name: str, source: membership.Source) -> None:
        """It is current, and all that it said is handed over."""
        if source.state is membership.State.IN_SYNC and not source.behind and self._settled(source):
            self._tell(k.Confirmed(name, *self._order(name), _wall()))

    def _soon(self) -> None:
        """At once, but where there are many: whoever brought them has had most of this turn."""
        if self._first or len(self._queue) <= SLICE:
            self._work()
        else:
            self._working = True
            self.loop.call_soon(self._work)

    def _work(self) -> None:
        """Look at some names, those that leave first; the rest in the loop's next turns."""
        self._working = False
        if self._closed:
            return
        names: dict[str, str] = {}
        for queue in (self._first, self._queue):
            while queue and len(names) < SLICE:
                name = next(iter(queue))
                names[name] = queue.pop(name)
        rest = bool(self._first or self._queue)
        by: dict[str, tuple[list[tuple[str, Server]], list[str]]] = {}
        view, wall = self.fleet.membership.view, _wall()
        for name, source in names.items():
            member = view.get(name)
            if member is None:
                if self._rows.pop(name, None) is not None:
                    by.setdefault(source, ([], []))[1].append(name)
                continue
            row = self._row(member, wall)
            remembered = member.endpoint.cached_age_ms is not None and not row.draining
            if remembered or self._rows.get(name) == _plain(row) or not self._writable(name):
                continue
            self._rows[name] = _plain(row)
            by.setdefault(source, ([], []))[0].append((name, row))
        for source, (servers, gone) in by.items():
            order = self._order(source, bool(gone))
            self._tell(k.Changed(source, *order, wall, tuple(servers), tuple(gone)))
        if rest:
            self._working = True
            self.loop.call_soon(self._work)
        elif not by:
            for name, found in self.fleet.membership.sources.items():
                self._confirm(name, found)

    def _writable(self, name: str) -> bool:
        good = 0 < len(name) <= LONGEST and "\0" not in name
        if not good and not self._odd:
            log.warning("state: %r is not kept: a name of 1 to %d characters is", name[:80], LONGEST)
        self._odd = self._odd or not good
        return good

    def _row(self, member: EndpointRecord, wall: int) -> Server:
        entry, merge = member.endpoint, self.fleet.membership.sources
        sources = [name for name, s in merge.items() if member.id in s.members and name != PEERS]
        age = 0 if entry.cached_age_ms is None else int(entry.cached_age_ms)
        return Server(
            member.address[0],
            member.address[1],
            entry.zone[:LONGEST],
            max(-MOST, min(MOST, entry.cell)),
            min(1e9, entry.weight),
            entry.phase is not api.Phase.UP,
            min(1e15, entry.started_at_ms),
            entry.kind[:LONGEST],
            tuple(sources[:16]),
            max(0, wall - age),
        )

    def _settled(self, source: membership.Source) -> bool:
        """Whether its word is in the view as a whole, and all of it was looked at."""
        waits = source.pending or self._first or self._queue
        return source.revision is not None and not waits and not source.spoiled

    def _order(self, name: str, leaves: bool = False) -> tuple[str, int]:
        """How far a source is told: never further than what is handed over with it.

        A source some of whose servers are not kept (odd names, or another source has taken them away) has no
        order to go on from: the next start needs its whole list. Of over OFTEN servers that is looked at once
        in 0.1 ms a server: guards the loop against a look at 10,000 at each change; what is told meanwhile is
        an older revision. Where somebody leaves it is looked at always: a start that took an older one as
        seen would believe an older list that has them.
        """
        source, now = self.fleet.membership.sources.get(name), self.node.now()
        if source is not None and self._settled(source) and (leaves or now >= self._checked.get(name, 0.0)):
            self._checked[name] = now + (len(source.members) / 10 if len(source.members) > OFTEN else 0)
            known = self._rows.keys() >= source.members.keys()
            revision = source.revision if source.revision is not None else -1
            self._whole[name] = (source.identity or "", revision) if known else ("", -1)
        return self._whole.get(name, ("", -1))

    # --- the decider

    def _tell(self, event: k.Event) -> None:
        if self._closed:
            return
        for action in self.keeping.handle(self.node.now(), event):
            match action:
                case k.Write():
                    self._write(action)
                case k.AskLearned():
                    self._ask()
                case k.BeginGeneration():
                    with contextlib.suppress(StoreFull):
                        self.store.begin_generation()
                case k.Say():
                    log.warning("state: %s", action.text)
        if self._timer is not None:
            self._timer.cancel()
        wait = max(0.001, (self.keeping.next_ms() - self.node.now()) / 1000)
        self._timer = self.loop.call_later(wait, self._due)

    def _due(self) -> None:
        self._timer = None
        self._tell(k.Ticked(_wall()))

    def _write(self, action: k.Write) -> None:
        number = action.number
        changes = [_change(at, row) for at, row in action.changes]

        def done(stamp: int) -> None:
            self._tell(k.Written(number))

        try:
            self.store.write(changes, done)
        except StoreFull:
            self.loop.call_soon(self._tell, k.TurnedAway(number))
        except ValueError as err:  # guards against one odd change that would hold up all others
            log.error("state: %d changes are not kept: %s", len(changes), err)
            self.loop.call_soon(self._tell, k.Written(number))

    def _ask(self) -> None:
        """What the module learned, as rows; what it says no longer goes."""
        learned, now = self.node.balancer.learned(self.node.now()), _wall()
        rows: dict[k.Key, kept.Kept | None] = {
            at: None for at in self.keeping.state.learned if at[0] in ("weights", "ejections")
        }
        rows["limit", "node"] = kept.Limit(min(1e9, learned.concurrency_limit), now)
        for name, (usual, dev) in learned.expected_latency_ms.items():
            rows["usual", name] = kept.Usual(min(1e12, usual), min(1e12, dev), now)
        for name, slow in learned.slowness.items():
            rows["weights", name] = kept.Weight(min(1e9, slow), now)
        for name, left in learned.ejection_left_ms.items():
            found = self.node.balancer.backends.get(name)
            fails = 0 if found is None else found.fails
            rows["ejections", name] = kept.Ejection(now + int(left), fails, now)
        bad = [at for at in rows if not self._writable(at[1])]
        for at in bad:
            del rows[at]
        self._tell(k.Learned(rows))

    def _look(self) -> None:
        """Say it once when the store does badly, and once when it is well again."""
        self._watch = self.loop.call_later(LOOK, self._look)
        state = self.store.state()
        trouble = state.reason or ("slow" if state.slow_ms else "")
        if trouble and not self._trouble:
            what = state.reason or f"a write has taken {state.slow_ms / 1000:.0f} s so far"
            log.error("state: %s; nothing new is kept meanwhile, the node serves on", what)
        elif self._trouble and not trouble:
            log.warning("state: it is written again")
        self._trouble = trouble

    async def close(self) -> None:
        """Hand over what waits, write it for a bounded time, let go."""
        self._ask()
        self._closed = True
        if self._heard in self.fleet.listeners:
            self.fleet.listeners.remove(self._heard)
        for timer in (self._timer, self._watch):
            if timer is not None:
                timer.cancel()
        for changes in (self.keeping.state.urgent, self.keeping.state.dirty):
            last = [_change(at, row) for at, row in changes.items()]
            with contextlib.suppress(StoreFull, ValueError):
                if last:
                    self.store.write(last)
        closing = Opening(lambda: self.store.close(CLOSE))
        left = 0
        with contextlib.suppress(TimeoutError):
            left = await asyncio.wait_for(closing.done, CLOSE + 0.5)
        if left:
            log.error("state: %d changes were not written by the end", left)


def _change(at: k.Key, row: kept.Kept | None) -> Change:
    return Delete(*at) if row is None else Put(*at, msgspec.msgpack.encode(row))


def _plain(row: Server) -> Server:
    """A row without what differs from one writing to the next."""
    return msgspec.structs.replace(row, order=0, confirmed_ms=0)


def _member(name: str, row: Server, source: str, end: kept.End | None) -> EndpointRecord:
    """What a source had said of a server; a drain is that source's who told it."""
    drains = row.draining and (end is None or end.gone or end.source in (source, NOBODY))
    phase = api.Phase.DRAINING if drains else api.Phase.UP
    entry = api.Endpoint(name, row.zone, row.cell, row.weight, phase, row.started_ms, row.kind)
    return EndpointRecord(entry, (row.host, row.port))
