"""Emulator of the platform's discovery: the member list, its changes, and one agent per node.

An agent answers `GET /discovery/hosts` with the whole list and `?watch=1&from=R` with a watch: one JSON
object per line, and an empty line every two seconds. Faults are scripted per agent: it may delay news, drop
its watches, stall, stop answering, refuse connections, repeat old changes, send an older list, send garbage
or move to another address. Everything that is written to a node about a server is recorded as `Told`;
from that moment the invariant checker expects the node to know it.
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
HEARTBEAT_INTERVAL_MS = 2_000.0  # between two empty lines on a watch
OVERDUE_MS = 6_000.0  # after which a change counts as told even if the node has not asked for it
HISTORY_CHANGES = 256  # changes, each with the whole list after it, that are kept for watches and replays
PHASES = {"in_service": "up", "terminating": "draining", "terminated": "gone"}


@dataclass(slots=True, frozen=True)
class Change:
    """The entries that one revision changed, and the whole list after it."""

    revision: int
    entries: tuple[Entry, ...]
    after: tuple[Entry, ...]


@dataclass
class MemberHistory:
    """The current list and its last `HISTORY_CHANGES` revisions; each published change is one revision."""

    revision: int
    members: dict[str, Entry]
    changes: deque[Change] = field(default_factory=lambda: deque(maxlen=HISTORY_CHANGES))

    def __post_init__(self) -> None:
        self.changes.append(Change(self.revision, (), tuple(self.members.values())))

    def copy(self) -> MemberHistory:
        """Copy the current list without its history."""
        return MemberHistory(self.revision, dict(self.members))

    def apply(self, revision: int, entries: Iterable[Entry]) -> Change:
        """Apply changed entries under a revision."""
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

    def changes_since(self, revision: int) -> list[Entry] | None:
        """Return the latest entry of each server that changed after a revision; None outside the history."""
        if not self.changes[0].revision <= revision <= self.revision:
            return None
        changed = [row for change in self.changes if change.revision > revision for row in change.entries]
        return list({str(row.get("id")): row for row in changed}.values())


class AgentConnection(asyncio.Protocol):
    """A connection of a node to its agent."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the agent."""
        self.transport = cast(asyncio.Transport, transport)
        self.agent.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection and its watch from the agent."""
        self.agent.connections.discard(self)
        self.agent.watches.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parse requests; close the connection on invalid HTTP."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.target += url

    def on_message_complete(self) -> None:
        """Answer the request unless the agent is silent."""
        target, self.target = self.target, b""
        path, _, query = target.decode("latin-1").partition("?")
        self.agent.request_targets.append(target.decode("latin-1"))
        if self.agent.silent:
            return
        if path != "/discovery/hosts":
            self.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        parameters = parse_qs(query)
        if parameters.get("watch") != ["1"]:
            self.agent.send_whole_list(self)
            return
        self.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.agent.start_watch(self, int(parameters.get("from", ["-1"])[0]))

    def write(self, data: bytes) -> bool:
        """Write to the node; return whether the connection was open."""
        if self.transport is None or self.transport.is_closing():
            return False
        self.transport.write(data)
        return True

    def write_chunk(self, data: bytes) -> bool:
        """Write one HTTP chunk to a watch; return whether the connection was open."""
        return self.write(b"%x\r\n%b\r\n" % (len(data), data))

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()


class Agent:
    """The discovery agent of one node; changes reach it `late_ms` after they are published."""

    def __init__(self, node: str, journal: Journal, member_history: MemberHistory, source: str) -> None:
        self.node, self.journal, self.member_history, self.source = node, journal, member_history, source
        self.late_ms = 0.0
        self.addresses: dict[str, str] = {}  # by server: the address for this node, where it differs
        self.via: Address | None = None  # the address at which the node reaches this agent, if it differs
        self.silent = self.stalled = False
        self.has_path_fault = False  # the path fails: writes do not reach the node
        self.connections: set[AgentConnection] = set()
        self.watches: set[AgentConnection] = set()
        self.request_targets: deque[str] = deque(maxlen=1000)
        self.backlog: list[Change] = []  # changes that arrived while the node was out of reach
        # The current list while an older one is served after `restore`.
        self.withheld_history: MemberHistory | None = None
        self.written_revision = member_history.revision  # the latest revision written to the node
        # All ids that the node was told about, as keys.
        self.announced_ids = dict.fromkeys(member_history.members)
        self.last_fault_at_ms = -OVERDUE_MS  # when a scripted fault last began or ended
        self.host, self.port = "127.0.0.1", 0
        self.listener: asyncio.Server | None = None
        self.heartbeat_timer: asyncio.TimerHandle | None = None

    @property
    def identity(self) -> str:
        """The identity of this source of revisions: its address as the node sees it."""
        host, port = self.via or (self.host, self.port)
        return f"{host}:{port}"

    async def start(self) -> None:
        """Listen, on the previous port if there is one."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: AgentConnection(self), self.host, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]
        self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        if self.heartbeat_timer is not None:
            self.heartbeat_timer.cancel()
        self.heartbeat_timer = asyncio.get_running_loop().call_later(
            HEARTBEAT_INTERVAL_MS / 1000, self._send_heartbeat
        )
        if not self.is_out_of_reach:
            for connection in self.watches:
                connection.write_chunk(b"\n")

    @property
    def is_out_of_reach(self) -> bool:
        """Whether a scripted fault keeps changes from the node."""
        return self.silent or self.stalled or self.listener is None

    # --- lists and changes

    def _line(self, revision: int, complete: bool, rows: list[Entry]) -> bytes:
        return _line(revision, complete, self._with_node_addresses(rows))

    def _with_node_addresses(self, rows: list[Entry]) -> list[Entry]:
        addresses = self.addresses
        return [
            row | {"host_port": addresses[row["id"]]} if row.get("id") in addresses else row for row in rows
        ]

    def apply_change(self, change: Change) -> None:
        """Apply a change from discovery and send it on all watches."""
        (self.withheld_history or self.member_history).apply(change.revision, change.entries)
        if self.withheld_history is not None:
            return
        if self.is_out_of_reach:
            self.backlog.append(change)
        else:
            self.send(change.revision, change.entries)
        asyncio.get_running_loop().call_later(OVERDUE_MS / 1000, self._record_overdue, change)

    def _record_overdue(self, change: Change) -> None:
        """Record an overdue change as told: otherwise a node that never asks would break no rule."""
        if self.is_out_of_reach or self.has_path_fault or self.withheld_history is not None:
            return
        if self.written_revision < change.revision and now_ms() - self.last_fault_at_ms >= OVERDUE_MS:
            self.record(change.revision, change.entries, written=False)

    def send(self, revision: int, entries: Iterable[Entry], *, complete: bool = False) -> None:
        """Write one line on every watch."""
        rows = list(entries)
        line = self._line(revision, complete, rows)
        if any([connection.write_chunk(line) for connection in self.watches]):
            self.record(revision, rows, complete=complete)

    def start_watch(self, connection: AgentConnection, after: int) -> None:
        """Begin a watch with the changes after a revision, or with the whole list if they are not known."""
        self.watches.add(connection)
        rows = self.member_history.changes_since(after)
        if rows is None:
            members = list(self.member_history.members.values())
            connection.write_chunk(self._line(self.member_history.revision, True, members))
            self.record(self.member_history.revision, members, complete=True)
        elif rows:
            connection.write_chunk(self._line(self.member_history.revision, False, rows))
            self.record(self.member_history.revision, rows)

    def send_whole_list(self, connection: AgentConnection) -> None:
        """Answer a request with the whole list."""
        members = list(self.member_history.members.values())
        body = self._line(self.member_history.revision, True, members)
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        connection.write(head % len(body) + body)
        self.record(self.member_history.revision, members, complete=True)

    def initial_list(self) -> dict[str, Any]:
        """Return the whole list in the form of the node's configuration."""
        members = self._with_node_addresses(list(self.member_history.members.values()))
        return {"revision": self.member_history.revision, "complete": True, "members": members}

    def record_initial_list(self, initial_list: dict[str, Any]) -> None:
        """Record the list in the configuration of a starting node as told; earlier lists no longer count."""
        self.announced_ids.clear()
        self.journal.release(self.node, self.source)  # a file is not affected by path faults
        self.record(initial_list["revision"], initial_list["members"], complete=True)
        if self.has_path_fault:
            self.journal.hold(self.node, self.source)

    def record(
        self, revision: int, rows: Iterable[Entry], *, complete: bool = False, written: bool = True
    ) -> None:
        """Record entries as told; an entry with an unknown phase is not recorded."""
        told_at_ms = now_ms()
        told = {str(row.get("id")): row for row in rows}
        if complete:
            told |= {name: {"phase": "terminated"} for name in self.announced_ids if name not in told}
        if written:
            self.written_revision = max(self.written_revision, revision)
            self.announced_ids |= dict.fromkeys(told)
        for name, row in told.items():
            phase, up_since_ms = PHASES.get(str(row.get("phase"))), row.get("up_since_ms", 0)
            if phase is not None:
                up_since_ms = float(up_since_ms) if isinstance(up_since_ms, (int, float)) else 0.0
                self.journal.add(
                    Told(
                        self.node,
                        self.source,
                        self.identity,
                        revision,
                        name,
                        phase,
                        told_at_ms,
                        up_since_ms,
                        written,
                    )
                )

    # --- scripted faults

    def drop(self) -> None:
        """Abort all connections."""
        for connection in list(self.connections):
            connection.close()

    def stall(self, is_on: bool) -> None:
        """Stop or resume writing on watches, empty lines included; missed changes follow on resume."""
        self.stalled = is_on
        self._reachability_changed()

    def silence(self, is_on: bool) -> None:
        """Stop or resume answering; connections are still accepted."""
        self.silent = is_on
        if not is_on:
            self.drop()  # aborts unanswered requests, so that the node asks again
        self._reachability_changed()

    def set_path_fault(self, is_on: bool) -> None:
        """Begin or end a path fault; what is written meanwhile counts as told once the path works again."""
        self.has_path_fault, self.last_fault_at_ms = is_on, now_ms()
        (self.journal.hold if is_on else self.journal.release)(self.node, self.source)

    async def refuse(self, is_on: bool) -> None:
        """Abort all connections and refuse new ones, or listen again."""
        if is_on and self.listener is not None:
            self.listener.close()
            self.listener = None
            self.drop()
        elif not is_on and self.listener is None:
            await self.start()
        self._reachability_changed()

    def _reachability_changed(self) -> None:
        self.last_fault_at_ms = now_ms()
        if self.is_out_of_reach:
            return
        backlog, self.backlog = self.backlog, []
        for change in backlog:
            self.send(change.revision, change.entries)

    def replay(self, count: int, skip_latest: int = 0) -> None:
        """Send the last `count` changes before the latest `skip_latest` again, under their revisions."""
        changes = list(self.member_history.changes)
        for change in changes[-count - skip_latest : len(changes) - skip_latest]:
            self.send(change.revision, change.entries)

    def send_older_list(self, count: int) -> None:
        """Send the whole list as it was `count` changes ago, under its old revision."""
        if count >= len(self.member_history.changes):
            raise ValueError(
                f"{count} changes ago is too far back: {len(self.member_history.changes) - 1} are kept"
            )
        old_change = self.member_history.changes[-1 - count]
        self.send(old_change.revision, old_change.after, complete=True)

    def restore(self, index: int) -> None:
        """Serve the list at an index of the history, as if restored from a backup; abort all connections."""
        old_change = self.member_history.changes[index]
        self.withheld_history, self.member_history = (
            self.member_history,
            MemberHistory(old_change.revision, {str(row["id"]): row for row in old_change.after}),
        )
        self.backlog.clear()
        self.drop()

    def catch_up(self) -> None:
        """End `restore`: serve the current list again and send it as a whole."""
        if self.withheld_history is not None:
            self.member_history, self.withheld_history = self.withheld_history.copy(), None
            self.send(self.member_history.revision, self.member_history.members.values(), complete=True)

    def garble(self, data: bytes = b'{"revision": 99999, "complete": tru\n') -> None:
        """Write raw bytes on every watch."""
        for connection in self.watches:
            connection.write_chunk(data)

    def send_long_line(self, size: int) -> None:
        """Write the whole list as one line of `size` bytes, padded by a long note."""
        rows = list(self.member_history.members.values())
        line = json.dumps(
            {"revision": self.member_history.revision, "complete": True, "members": rows, "note": ""}
        )
        line = f'{line[:-2]}{"x" * max(0, size - len(line))}"}}\n'
        for connection in self.watches:
            connection.write_chunk(line.encode())

    async def move(self) -> None:
        """Listen on another port; the old one refuses connections. The caller has to reconfigure the node."""
        await self.refuse(True)
        old_port, self.port = self.port, 0
        await self.refuse(False)
        if self.port == old_port:  # the system may assign the same port again
            await self.move()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self.heartbeat_timer is not None:
            self.heartbeat_timer.cancel()
        if self.listener is not None:
            self.listener.close()
        self.drop()


class Discovery:
    """The discovery service; its changes reach the agent of each node after that agent's `late_ms`."""

    def __init__(
        self, journal: Journal, members: Iterable[Entry] = (), *, revision: int = 41, source: str = "platform"
    ) -> None:
        self.journal, self.source = journal, source
        self.member_history = MemberHistory(revision, {str(row["id"]): row for row in members})
        self.agents: dict[str, Agent] = {}

    async def agent(self, node: str) -> Agent:
        """Start the agent of a node with the current list."""
        agent = Agent(node, self.journal, self.member_history.copy(), self.source)
        await agent.start()
        self.agents[node] = agent
        return agent

    def publish(self, *entries: Entry) -> int:
        """Publish one change under the next revision and return it; entries may be invalid on purpose."""
        change = self.member_history.apply(self.member_history.revision + 1, entries)
        loop = asyncio.get_running_loop()
        for agent in self.agents.values():
            if agent.late_ms > 0:
                loop.call_later(agent.late_ms / 1000, agent.apply_change, change)
            else:
                agent.apply_change(change)
        return change.revision

    def close(self) -> None:
        """Close all agents."""
        for agent in self.agents.values():
            agent.close()


def _line(revision: int, complete: bool, rows: list[Entry]) -> bytes:
    return json.dumps({"revision": revision, "complete": complete, "members": rows}).encode() + b"\n"
