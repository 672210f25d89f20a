"""The stand-in for an etcd cluster: one store, several endpoints, every fault a method call away."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import ssl
from collections.abc import Iterator, Mapping, Sequence
from types import TracebackType
from typing import Self

from balancer.testbed.certificates import Certificates
from balancer.testbed.etcd.auth import Auth, User
from balancer.testbed.etcd.client import EtcdError, prefix_end
from balancer.testbed.etcd.gateway import Endpoint
from balancer.testbed.etcd.shared import (
    MAX_RECORDS,
    Garbage,
    Record,
    Shared,
    now_ms,
)
from balancer.testbed.etcd.store import (
    Backup,
    Delete,
    Op,
    Put,
    Store,
    StoreError,
)
from balancer.testbed.etcd.stream import Stream
from balancer.testbed.port_reservation import reserve_port


class StandIn:
    """A cluster that is told what to do wrong; `async with` one. It has all that `EtcdCluster` asks for.

    Its own writes (`put`, `txn`, ...) go to the store at once, past all faults, as long as a majority of
    members is there: that is how something changes that a client does not hear of.

    - `progress_ms`, `token_ttl_s`, `election_ms`, `certificates`, `client_auth`: as for a real one.
    - `sync_ms`: how long a watch that begins in the past waits for its first events, or for its end.
    - `quorum_wait_ms`: after which a call without a quorum fails; etcd's 5 s and two elections by default.

    `records` grows with what was told, up to a million; clear it between two tests.
    """

    def __init__(
        self,
        members: int = 1,
        *,
        progress_ms: float = 600_000,
        token_ttl_s: float = 300,
        election_ms: float = 200,
        sync_ms: float = 20,
        quorum_wait_ms: float | None = None,
        certificates: Certificates | None = None,
        client_auth: bool = False,
        seed: int = 0,
    ) -> None:
        ids = random.Random(seed)
        least_ttl_s = int(-(-1.5 * election_ms // 1000))
        wait_ms = 5000 + 2 * election_ms if quorum_wait_ms is None else quorum_wait_ms
        self.context: ssl.SSLContext | None = certificates.client() if certificates else None
        self._scheme = "https" if certificates else "http"
        tls = certificates.server(client_auth) if certificates else None
        self.shared = Shared(
            store=Store(now_ms, least_ttl_s),
            auth=Auth(now_ms, 1000.0 * token_ttl_s),
            cluster_id=ids.getrandbits(63),
            election_ms=election_ms,
            quorum_wait_ms=wait_ms,
            progress_ms=progress_ms,
            sync_ms=sync_ms,
            has_quorum=self.has_quorum,
            leader=self._leader,
            changed=self._changed,
        )
        self.members = [Endpoint(self.shared, index, ids.getrandbits(63), tls) for index in range(members)]
        self._kept: list[socket.socket] = []
        self._leases: asyncio.Task[None] | None = None
        self._stir = asyncio.Event()
        self._led = True

    @property
    def endpoints(self) -> list[str]:
        """Base URLs, one a member; none before it is entered."""
        return [f"{self._scheme}://127.0.0.1:{kept.getsockname()[1]}" for kept in self._kept]

    @property
    def store(self) -> Store:
        """What it holds."""
        return self.shared.store

    @property
    def records(self) -> list[Record]:
        """What was told to whom, in order."""
        return self.shared.records

    async def __aenter__(self) -> Self:
        self._kept = [reserve_port() for _ in self.members]
        for index in range(len(self.members)):
            await self.restart(index)
        self._leases = asyncio.ensure_future(self._expire())
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self._leases is not None:
            self._leases.cancel()
        for member in self.members:
            member.deaf()
            member.drop()
        for kept in self._kept:
            kept.close()
        await asyncio.sleep(0)  # let what was cancelled end
        if self.shared.lost and kind is None:
            raise RuntimeError(f"{self.shared.lost} records beyond {MAX_RECORDS} are lost: clear them sooner")

    # --- what goes on

    def has_quorum(self, index: int) -> bool:
        """Whether a member is one of a majority that live, are not frozen and not cut off."""
        there = [one.alive and one.thawed.is_set() and not one.cut for one in self.members]
        return there[index] and 2 * sum(there) > len(there)

    def _leader(self) -> int:
        ids = (one.member_id for one in self.members if self.has_quorum(one.index))
        return next(ids, 0)

    def _led_now(self) -> bool:
        return any(self.has_quorum(index) for index in range(len(self.members)))

    def _changed(self) -> None:
        """Something is new: let all members know what they may."""
        for index, member in enumerate(self.members):
            if self.has_quorum(index):
                member.held = member.lost_ms = None
            elif member.held is None:
                member.held, member.lost_ms = self.store.revision, now_ms()
            member.stir()
        if self._led_now() and not self._led:
            self._renew()
        self._led = self._led_now()
        self._stir.set()

    def _renew(self) -> None:
        """A new leader gives every lease its whole time again."""
        for lease in list(self.store.leases):
            self.store.keep_alive(lease)

    async def _expire(self) -> None:
        while True:
            self._stir.clear()
            if self._led_now() and self.store.expire():
                self._changed()
                continue
            end_ms = self.store.next_end_ms()
            wait_s = None  # nobody ends a lease without a leader
            if end_ms is not None and self._led_now():
                wait_s = max(end_ms - now_ms(), 1.0) / 1000.0
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._stir.wait(), wait_s)

    # --- writing

    @contextlib.contextmanager
    def _writing(self) -> Iterator[Store]:
        if not self._led_now():
            raise EtcdError("no member has a quorum")
        try:
            yield self.store
        except StoreError as err:
            raise EtcdError(err.message) from err
        self._changed()

    def _write(self, ops: Sequence[Op]) -> int:
        with self._writing() as store:
            store.txn((), ops, ())
        return store.revision

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Set a key; the revision after it."""
        return self._write([Put(key.encode(), value, lease)])

    async def delete(self, key: str, prefix: bool = False) -> int:
        """Delete a key, or all that begin with it; the revision after it."""
        raw = key.encode()
        return self._write([Delete(raw or b"\0", prefix_end(raw)) if prefix else Delete(raw)])

    async def txn(self, puts: Mapping[str, bytes], deletes: Sequence[str]) -> int:
        """Puts and deletes in one revision."""
        ops: list[Op] = [Put(key.encode(), value) for key, value in puts.items()]
        return self._write([*ops, *(Delete(key.encode()) for key in deletes)])

    async def compact(self, revision: int) -> None:
        """Forget the history before a revision."""
        with self._writing() as store:
            store.compact(revision)

    async def revision(self) -> int:
        """The newest revision."""
        return self.store.revision

    async def grant(self, ttl_s: int) -> int:
        """A new lease; its id."""
        with self._writing() as store:
            lease = store.grant(ttl_s)
        return lease.id

    async def revoke(self, lease: int) -> int:
        """End a lease; its keys go."""
        with self._writing() as store:
            store.revoke(lease)
        return store.revision

    # --- the members' lives

    def freeze(self, member: int) -> None:
        """Say nothing any more, take no part in the cluster; connections still come up."""
        self.members[member].thawed.clear()
        self._changed()

    def thaw(self, member: int) -> None:
        """Go on."""
        self.members[member].thawed.set()
        self._changed()

    async def kill(self, member: int) -> None:
        """Connections just end, new ones are refused."""
        one = self.members[member]
        one.alive = False
        one.deaf()
        one.drop()
        one.thawed.set()
        self._changed()

    async def terminate(self, member: int) -> None:
        """Streams are told, then connections end; new ones are refused."""
        one = self.members[member]
        one.alive = False
        one.deaf()
        one.dismiss()
        one.thawed.set()
        self._changed()

    async def restart(self, member: int) -> None:
        """Be there again, at the same address."""
        one = self.members[member]
        one.lives += not one.alive
        one.alive = True
        if not one.listening:
            one.listen(self._kept[member].getsockname()[1])
        self._changed()

    async def enable_auth(self, user: str, password: str, readable: str = "") -> None:
        """Let nobody in without a name and a password from now on; as `EtcdCluster` has it."""
        users = self.shared.auth.users
        users["root"] = User(password, None)
        if user != "root":
            users[user] = User(password, readable.encode() if readable else None)
        self.shared.auth.enabled = True

    # --- faults; a member that is frozen or stalled tells none of them

    def _streams(self, member: int) -> list[Stream]:
        one = self.members[member]
        return list(one.streams.values()) if one.is_awake else []

    def refuse(self, member: int) -> None:
        """Refuse new connections; `restart` ends it."""
        self.members[member].deaf()

    def drop(self, member: int) -> None:
        """End all connections there are."""
        self.members[member].drop()

    def stall(self, member: int, on: bool = True) -> None:
        """Say nothing to clients, as `freeze`, but stay a part of the cluster."""
        one = self.members[member]
        if on:
            one.unstalled.clear()
        else:
            one.unstalled.set()
        one.stir()

    def lag(self, member: int, revisions: int) -> None:
        """Be that many revisions behind, in all it says; 0 ends it."""
        self.members[member].lag = revisions
        self.members[member].stir()

    def cut_off(self, member: int, on: bool = True) -> None:
        """Cut it off from the other members: it hears of no change, and can't do what needs a quorum."""
        self.members[member].cut = on
        self._changed()

    def replay(self, member: int, revision: int, last: int | None = None) -> None:
        """Tell every open watch once more what happened from a revision on, up to `last` if given."""
        for stream in self._streams(member):
            stream.replay(revision, last)

    def twice(self, member: int, on: bool = True) -> None:
        """Tell every event twice."""
        self.members[member].twice = on

    def cancel(self, member: int, reason: str = "", compact_revision: int = 0) -> None:
        """Cancel every watch; the streams stay open."""
        for stream in self._streams(member):
            stream.cancel(reason, compact_revision)

    def fragment(self, member: int, size: int) -> None:
        """Cut what a watch that asked for it is told into pieces of that many bytes (etcd: 2 MiB)."""
        self.members[member].fragment = size

    def spoil(self, member: int, kind: Garbage, key: str = "garbage") -> None:
        """Say something that makes no sense on every open watch, once; of `key`, where it has one."""
        for stream in self._streams(member):
            stream.spoil(kind, key.encode())

    def spoil_ranges(self, member: int, kind: Garbage | None, key: str = "garbage") -> None:
        """Answer range calls with something that makes no sense, until told otherwise (None)."""
        self.members[member].garbage, self.members[member].garbage_key = kind, key.encode()

    def garble(self, key: str, kind: Garbage | None) -> None:
        """Tell a key's value as NOT_BASE64 or HUGE_VALUE from now on, in events and lists; None ends it."""
        self.shared.garbled.pop(key.encode(), None)
        if kind is not None:
            self.shared.garbled[key.encode()] = kind

    def rename(self, member: int, cluster_id: int | None) -> None:
        """Be a member of another cluster, by what it says; None ends it."""
        self.members[member].cluster_id = cluster_id

    def backup(self) -> Backup:
        """What it holds, to be restored later."""
        return self.store.backup()

    def restore(self, backup: Backup) -> None:
        """Go back to a backup under the same cluster id; all connections end, as members do for it."""
        for member in self.members:
            member.drop()
            if member.held is not None:
                member.held = backup.revision
        self.store.restore(backup)
        self._changed()

    def lose_leases(self) -> int:
        """End all leases at once; how many there were."""
        leases = list(self.store.leases)
        for lease in leases:
            self.store.revoke(lease)
        self._changed()
        return len(leases)

    def forget_tokens(self) -> None:
        """Make every token invalid."""
        self.shared.auth.forget_tokens()
