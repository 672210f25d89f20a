"""The platform's discovery as a stand-in: the list, its changes, and an agent on the machine of each node.

An agent answers `GET /discovery/hosts` with the whole list and `?watch=1&from=R` with a watch: one JSON
object a line, an empty line every two seconds. Each agent is scripted by itself: it may be late, drop its
watches, stall, fall silent, refuse, repeat old changes, tell an older list, send garbage, move to another
address. Whatever is written to a node of a server is recorded as `Told`: the judge counts from then on.
"""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, cast
from urllib.parse import parse_qs

import httptools

from balancer.endpoints import Address
from balancer.testbed.event_log import Journal, Told, now_ms

Entry = dict[str, Any]
BEAT_MS = 2_000.0
OVERDUE_MS = 6_000.0  # after which news counts as told, whether or not the node has asked for it
HISTORY = 256  # changes and whole lists that are kept for watches and replays
PHASES = {"in_service": "up", "terminating": "draining", "terminated": "gone"}


@dataclass(slots=True, frozen=True)
class Change:
    """What one revision changed, and the whole list after it."""

    revision: int
    entries: tuple[Entry, ...]
    after: tuple[Entry, ...]


@dataclass
class Book:
    """The list by revision, which grows by one with each change: the last `HISTORY` of them."""

    revision: int
    members: dict[str, Entry]
    changes: deque[Change] = field(default_factory=lambda: deque(maxlen=HISTORY))

    def __post_init__(self) -> None:
        self.changes.append(Change(self.revision, (), tuple(self.members.values())))

    def copy(self) -> Book:
        """The list as it is, without what came before it."""
        return Book(self.revision, dict(self.members))

    def put(self, revision: int, entries: Iterable[Entry]) -> Change:
        """Apply a change."""
        rows = tuple(entries)
        for row in rows:
            name = str(row.get("id"))
            if row.get("phase") == "terminated":
                self.members.pop(name, None)
            else:
                self.members[name] = row
        self.revision = revision
        change = Change(revision, rows, tuple(self.members.values()))
        self.changes.append(change)
        return change

    def since(self, revision: int) -> list[Entry] | None:
        """What changed after a revision, the latest of each server; None where that is not known any more."""
        if not self.changes[0].revision <= revision <= self.revision:
            return None
        after = [row for c in self.changes if c.revision > revision for row in c.entries]
        return list({str(row.get("id")): row for row in after}.values())


class Call(asyncio.Protocol):
    """One connection of a node to its agent."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take it in."""
        self.transport = cast(asyncio.Transport, transport)
        self.agent.calls.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The node has gone."""
        self.agent.calls.discard(self)
        self.agent.watches.discard(self)

    def data_received(self, data: bytes) -> None:
        """Read a call."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    def on_url(self, url: bytes) -> None:
        """The target, in pieces."""
        self.target += url

    def on_message_complete(self) -> None:
        """Answer, unless the agent is silent."""
        target, self.target = self.target, b""
        path, _, query = target.decode("latin-1").partition("?")
        self.agent.asked.append(target.decode("latin-1"))
        if self.agent.silent:
            return
        if path != "/discovery/hosts":
            self.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        words = parse_qs(query)
        if words.get("watch") != ["1"]:
            self.agent.whole(self)
            return
        self.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.agent.follow(self, int(words.get("from", ["-1"])[0]))

    def write(self, data: bytes) -> bool:
        """Write to the node; whether it could be."""
        if self.transport is None or self.transport.is_closing():
            return False
        self.transport.write(data)
        return True

    def chunk(self, data: bytes) -> bool:
        """Write a piece of a watch."""
        return self.write(b"%x\r\n%b\r\n" % (len(data), data))

    def close(self) -> None:
        """Break the connection."""
        if self.transport is not None:
            self.transport.abort()


class Agent:
    """What one node has of discovery, `late_ms` after discovery itself."""

    def __init__(self, node: str, journal: Journal, book: Book, source: str) -> None:
        self.node, self.journal, self.book, self.source = node, journal, book, source
        self.late_ms = 0.0
        self.addresses: dict[str, str] = {}  # under which this node reaches servers, where that is another
        self.via: Address | None = None  # under which the node reaches this agent, where that is another
        self.silent = self.stalled = False
        self.astray = False  # what it writes does not reach the node: the path between them is at fault
        self.calls: set[Call] = set()
        self.watches: set[Call] = set()
        self.asked: deque[str] = deque(maxlen=1000)  # targets of calls
        self.backlog: list[Change] = []  # news that came while it was stalled or silent
        self.newer: Book | None = None  # what it would have, had it not come back with an older list
        self.seen = book.revision  # the latest revision that was written to the node
        self.ever = dict.fromkeys(book.members)  # all ids that the node was told of
        self.away_at_ms = -OVERDUE_MS  # when it last was out of reach by script
        self.host, self.port = "127.0.0.1", 0
        self.listener: asyncio.Server | None = None
        self.beat: asyncio.TimerHandle | None = None

    @property
    def identity(self) -> str:
        """What its revisions are an order of: its address."""
        host, port = self.via or (self.host, self.port)
        return f"{host}:{port}"

    async def start(self) -> None:
        """Listen, where it listened before if it ever did."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: Call(self), self.host, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]
        self._beat()

    def _beat(self) -> None:
        if self.beat is not None:
            self.beat.cancel()
        self.beat = asyncio.get_running_loop().call_later(BEAT_MS / 1000, self._beat)
        if not self.out_of_reach:
            for call in self.watches:
                call.chunk(b"\n")

    @property
    def out_of_reach(self) -> bool:
        """Whether the script keeps its news from the node."""
        return self.silent or self.stalled or self.listener is None

    # --- what it tells

    def _line(self, revision: int, complete: bool, rows: list[Entry]) -> bytes:
        return _line(revision, complete, self._reached(rows))

    def _reached(self, rows: list[Entry]) -> list[Entry]:
        found = self.addresses
        return [row | {"host_port": found[row["id"]]} if row.get("id") in found else row for row in rows]

    def learn(self, change: Change) -> None:
        """News from discovery: to the book, and on to all watches."""
        (self.newer or self.book).put(change.revision, change.entries)
        if self.newer is not None:
            return
        if self.out_of_reach:
            self.backlog.append(change)
        else:
            self.tell(change.revision, change.entries)
        asyncio.get_running_loop().call_later(OVERDUE_MS / 1000, self._overdue, change)

    def _overdue(self, change: Change) -> None:
        """Guards against a node that never asks: it would never be told, and break no rule."""
        if self.out_of_reach or self.astray or self.newer is not None:
            return
        if self.seen < change.revision and now_ms() - self.away_at_ms >= OVERDUE_MS:
            self.record(change.revision, change.entries, written=False)

    def tell(self, revision: int, entries: Iterable[Entry], *, complete: bool = False) -> None:
        """One line on every watch."""
        rows = list(entries)
        line = self._line(revision, complete, rows)
        if any([call.chunk(line) for call in self.watches]):
            self.record(revision, rows, complete=complete)

    def follow(self, call: Call, after: int) -> None:
        """Begin a watch with what changed after a revision, or the whole list."""
        self.watches.add(call)
        rows = self.book.since(after)
        if rows is None:
            members = list(self.book.members.values())
            call.chunk(self._line(self.book.revision, True, members))
            self.record(self.book.revision, members, complete=True)
        elif rows:
            call.chunk(self._line(self.book.revision, False, rows))
            self.record(self.book.revision, rows)

    def whole(self, call: Call) -> None:
        """The whole list, as the answer to a call."""
        members = list(self.book.members.values())
        body = self._line(self.book.revision, True, members)
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        call.write(head % len(body) + body)
        self.record(self.book.revision, members, complete=True)

    def known(self) -> dict[str, Any]:
        """The whole list, for the node's configuration."""
        members = self._reached(list(self.book.members.values()))
        return {"revision": self.book.revision, "complete": True, "members": members}

    def tell_known(self, known: dict[str, Any]) -> None:
        """A node starts with that configuration, and so was told; it knows of nothing else but by memory."""
        self.ever.clear()
        self.journal.release(self.node, self.source)  # a file takes no path that may fail
        self.record(known["revision"], known["members"], complete=True)
        if self.astray:
            self.journal.hold(self.node, self.source)

    def record(
        self, revision: int, rows: Iterable[Entry], *, complete: bool = False, written: bool = True
    ) -> None:
        """Record what was told; an entry whose phase cannot be read tells nothing."""
        at = now_ms()
        told = {str(row.get("id")): row for row in rows}
        if complete:
            told |= {name: {"phase": "terminated"} for name in self.ever if name not in told}
        if written:
            self.seen = max(self.seen, revision)
            self.ever |= dict.fromkeys(told)
        for name, row in told.items():
            phase, since = PHASES.get(str(row.get("phase"))), row.get("up_since_ms", 0)
            if phase is not None:
                since = float(since) if isinstance(since, (int, float)) else 0.0
                self.journal.add(
                    Told(self.node, self.source, self.identity, revision, name, phase, at, since, written)
                )

    # --- scripted faults

    def drop(self) -> None:
        """Break all calls."""
        for call in list(self.calls):
            call.close()

    def stall(self, on: bool) -> None:
        """Write nothing on watches, not even empty lines; after it they get all that was held back."""
        self.stalled = on
        self._back()

    def silence(self, on: bool) -> None:
        """Say nothing at all: new calls are accepted and not answered."""
        self.silent = on
        if not on:
            self.drop()  # calls that were never answered; the node asks anew
        self._back()

    def stray(self, on: bool) -> None:
        """The path to the node begins or ends to fail: what is written counts as told once it is well."""
        self.astray, self.away_at_ms = on, now_ms()
        (self.journal.hold if on else self.journal.release)(self.node, self.source)

    async def refuse(self, on: bool) -> None:
        """Out of reach: calls are broken, connections refused."""
        if on and self.listener is not None:
            self.listener.close()
            self.listener = None
            self.drop()
        elif not on and self.listener is None:
            await self.start()
        self._back()

    def _back(self) -> None:
        self.away_at_ms = now_ms()
        if self.out_of_reach:
            return
        backlog, self.backlog = self.backlog, []
        for change in backlog:
            self.tell(change.revision, change.entries)

    def replay(self, count: int, but: int = 0) -> None:
        """Tell the last changes once more, each under its old revision, and leave out the very last `but`."""
        changes = list(self.book.changes)
        for change in changes[-count - but : len(changes) - but]:
            self.tell(change.revision, change.entries)

    def go_back(self, count: int) -> None:
        """Tell the whole list as it was some changes ago, under its old revision."""
        if count >= len(self.book.changes):
            raise ValueError(f"{count} changes ago is too far back: {len(self.book.changes) - 1} are kept")
        old = self.book.changes[-1 - count]
        self.tell(old.revision, old.after, complete=True)

    def restore(self, place: int) -> None:
        """Come back from a backup: with the list as it was after so many changes, and nothing of since."""
        old = self.book.changes[place]
        self.newer, self.book = self.book, Book(old.revision, {str(row["id"]): row for row in old.after})
        self.backlog.clear()
        self.drop()

    def catch_up(self) -> None:
        """Have all of it again, as a whole list."""
        if self.newer is not None:
            self.book, self.newer = self.newer.copy(), None
            self.tell(self.book.revision, self.book.members.values(), complete=True)

    def garble(self, data: bytes = b'{"revision": 99999, "complete": tru\n') -> None:
        """Write bytes on every watch, as they are."""
        for call in self.watches:
            call.chunk(data)

    def ramble(self, size: int) -> None:
        """Write one line of so many bytes that holds the list as it is: all of it but a long note."""
        rows = list(self.book.members.values())
        line = json.dumps({"revision": self.book.revision, "complete": True, "members": rows, "note": ""})
        line = f'{line[:-2]}{"x" * max(0, size - len(line))}"}}\n'
        for call in self.watches:
            call.chunk(line.encode())

    async def move(self) -> None:
        """Listen at another address from now on; the old one refuses. The node has to be told."""
        await self.refuse(True)
        old, self.port = self.port, 0
        await self.refuse(False)
        if self.port == old:  # the system may choose the same again
            await self.move()

    def close(self) -> None:
        """End it."""
        if self.beat is not None:
            self.beat.cancel()
        if self.listener is not None:
            self.listener.close()
        self.drop()


class Discovery:
    """The service itself: what it publishes reaches each node's agent, later by that agent's `late_ms`."""

    def __init__(
        self, journal: Journal, members: Iterable[Entry] = (), *, revision: int = 41, source: str = "platform"
    ) -> None:
        self.journal, self.source = journal, source
        self.book = Book(revision, {str(row["id"]): row for row in members})
        self.agents: dict[str, Agent] = {}

    async def agent(self, node: str) -> Agent:
        """Start a node's agent, with the list as it is."""
        agent = Agent(node, self.journal, self.book.copy(), self.source)
        await agent.start()
        self.agents[node] = agent
        return agent

    def publish(self, *entries: Entry) -> int:
        """One change, under the next revision; an entry need not be one that a node can read."""
        change = self.book.put(self.book.revision + 1, entries)
        loop = asyncio.get_running_loop()
        for agent in self.agents.values():
            if agent.late_ms > 0:
                loop.call_later(agent.late_ms / 1000, agent.learn, change)
            else:
                agent.learn(change)
        return change.revision

    def close(self) -> None:
        """End all agents."""
        for agent in self.agents.values():
            agent.close()


def _line(revision: int, complete: bool, rows: list[Entry]) -> bytes:
    return json.dumps({"revision": revision, "complete": complete, "members": rows}).encode() + b"\n"
