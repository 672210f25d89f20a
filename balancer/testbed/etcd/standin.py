"""Emulates an etcd cluster: several endpoints over one store, with injectable faults."""

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
    ClusterState,
    Garbage,
    Record,
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


class EtcdEmulator:
    """An emulated etcd cluster with injectable faults; implements `EtcdCluster`. An async context manager.

    Its own writes (`put`, `txn`, ...) bypass all faults and reach the store at once while a majority of the
    members is available. Tests use them for changes that a client must not be notified of.

    - `progress_ms`, `token_ttl_s`, `election_ms`, `certificates`, `client_auth`: as for a real cluster.
    - `sync_ms`: delay before a watch that starts in the past gets its first events or is canceled.
    - `quorum_wait_ms`: how long a call waits for a quorum; etcd's 5 s plus two elections by default.

    `records` holds every response sent, up to a million; clear it between tests.
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
        min_ttl_s = int(-(-1.5 * election_ms // 1000))
        wait_ms = 5000 + 2 * election_ms if quorum_wait_ms is None else quorum_wait_ms
        self.context: ssl.SSLContext | None = certificates.client() if certificates else None
        self._scheme = "https" if certificates else "http"
        tls = certificates.server(client_auth) if certificates else None
        self.shared = ClusterState(
            store=Store(now_ms, min_ttl_s),
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
        self._port_reservations: list[socket.socket] = []
        self._expiry_task: asyncio.Task[None] | None = None
        self._lease_wake_event = asyncio.Event()
        self._had_leader = True

    @property
    def endpoints(self) -> list[str]:
        """Base URLs, one per member; empty before the context is entered."""
        return [f"{self._scheme}://127.0.0.1:{kept.getsockname()[1]}" for kept in self._port_reservations]

    @property
    def store(self) -> Store:
        """The emulated key-value store."""
        return self.shared.store

    @property
    def records(self) -> list[Record]:
        """The responses that were sent to clients, in order."""
        return self.shared.records

    async def __aenter__(self) -> Self:
        self._port_reservations = [reserve_port() for _ in self.members]
        for index in range(len(self.members)):
            await self.restart(index)
        self._expiry_task = asyncio.ensure_future(self._expire_leases())
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        for member in self.members:
            member.stop_listening()
            member.drop()
        for reservation in self._port_reservations:
            reservation.close()
        await asyncio.sleep(0)  # lets the cancelled tasks finish
        if self.shared.dropped_record_count and kind is None:
            raise RuntimeError(
                f"{self.shared.dropped_record_count} records beyond {MAX_RECORDS} are lost: clear them sooner"
            )

    # --- cluster state

    def has_quorum(self, index: int) -> bool:
        """Whether a member belongs to a majority that is running, not frozen and not partitioned."""
        available = [
            endpoint.alive and endpoint.thawed.is_set() and not endpoint.is_isolated
            for endpoint in self.members
        ]
        return available[index] and 2 * sum(available) > len(available)

    def _leader(self) -> int:
        ids = (endpoint.member_id for endpoint in self.members if self.has_quorum(endpoint.index))
        return next(ids, 0)

    def _has_leader(self) -> bool:
        return any(self.has_quorum(index) for index in range(len(self.members)))

    def _changed(self) -> None:
        """Propagate a change of the store or of membership to the members that may see it."""
        for index, member in enumerate(self.members):
            if self.has_quorum(index):
                member.known_revision = member.quorum_lost_ms = None
            elif member.known_revision is None:
                member.known_revision, member.quorum_lost_ms = self.store.revision, now_ms()
            member.wake_streams()
        if self._has_leader() and not self._had_leader:
            self._renew_leases()
        self._had_leader = self._has_leader()
        self._lease_wake_event.set()

    def _renew_leases(self) -> None:
        """Reset every lease to its full TTL, as a newly elected leader does."""
        for lease in list(self.store.leases):
            self.store.keep_alive(lease)

    async def _expire_leases(self) -> None:
        while True:
            self._lease_wake_event.clear()
            if self._has_leader() and self.store.expire():
                self._changed()
                continue
            expiry_ms = self.store.next_expiry_ms()
            wait_s = None  # leases do not expire without a leader
            if expiry_ms is not None and self._has_leader():
                wait_s = max(expiry_ms - now_ms(), 1.0) / 1000.0
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._lease_wake_event.wait(), wait_s)

    # --- writes

    @contextlib.contextmanager
    def _writing(self) -> Iterator[Store]:
        if not self._has_leader():
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
        """Set a key and return the revision after it."""
        return self._write([Put(key.encode(), value, lease)])

    async def delete(self, key: str, prefix: bool = False) -> int:
        """Delete a key, or all keys with that prefix, and return the revision after it."""
        raw = key.encode()
        return self._write([Delete(raw or b"\0", prefix_end(raw)) if prefix else Delete(raw)])

    async def txn(self, puts: Mapping[str, bytes], deletes: Sequence[str]) -> int:
        """Apply puts and deletes in one revision and return that revision."""
        ops: list[Op] = [Put(key.encode(), value) for key, value in puts.items()]
        return self._write([*ops, *(Delete(key.encode()) for key in deletes)])

    async def compact(self, revision: int) -> None:
        """Compact the history before a revision."""
        with self._writing() as store:
            store.compact(revision)

    async def revision(self) -> int:
        """Return the latest revision."""
        return self.store.revision

    async def grant(self, ttl_s: int) -> int:
        """Grant a lease and return its id."""
        with self._writing() as store:
            lease = store.grant(ttl_s)
        return lease.id

    async def revoke(self, lease: int) -> int:
        """Revoke a lease, which deletes its keys, and return the revision after it."""
        with self._writing() as store:
            store.revoke(lease)
        return store.revision

    # --- member lifecycle

    def freeze(self, member: int) -> None:
        """Suspend a member: it leaves the quorum and sends nothing, but connections are still accepted."""
        self.members[member].thawed.clear()
        self._changed()

    def thaw(self, member: int) -> None:
        """Resume a frozen member."""
        self.members[member].thawed.set()
        self._changed()

    async def kill(self, member: int) -> None:
        """Abort all connections and refuse new ones."""
        endpoint = self.members[member]
        endpoint.alive = False
        endpoint.stop_listening()
        endpoint.drop()
        endpoint.thawed.set()
        self._changed()

    async def terminate(self, member: int) -> None:
        """End streams with an error, close all connections and refuse new ones."""
        endpoint = self.members[member]
        endpoint.alive = False
        endpoint.stop_listening()
        endpoint.close_gracefully()
        endpoint.thawed.set()
        self._changed()

    async def restart(self, member: int) -> None:
        """Start a member again on the same address."""
        endpoint = self.members[member]
        endpoint.start_count += not endpoint.alive
        endpoint.alive = True
        if not endpoint.is_listening:
            endpoint.listen(self._port_reservations[member].getsockname()[1])
        self._changed()

    async def enable_auth(self, user: str, password: str, readable: str = "") -> None:
        """Require authentication from now on; see `EtcdCluster.enable_auth`."""
        users = self.shared.auth.users
        users["root"] = User(password, None)
        if user != "root":
            users[user] = User(password, readable.encode() if readable else None)
        self.shared.auth.enabled = True

    # --- faults; a frozen or stalled member does not send the faults of its streams

    def _streams(self, member: int) -> list[Stream]:
        endpoint = self.members[member]
        return list(endpoint.streams.values()) if endpoint.is_awake else []

    def refuse(self, member: int) -> None:
        """Refuse new connections until `restart`."""
        self.members[member].stop_listening()

    def drop(self, member: int) -> None:
        """Abort all open connections."""
        self.members[member].drop()

    def stall(self, member: int, on: bool = True) -> None:
        """Send nothing to clients, as with `freeze`, but stay in the quorum."""
        endpoint = self.members[member]
        if on:
            endpoint.unstalled.clear()
        else:
            endpoint.unstalled.set()
        endpoint.wake_streams()

    def lag(self, member: int, revisions: int) -> None:
        """Serve a state that is this many revisions old; 0 ends the fault."""
        self.members[member].lag_revisions = revisions
        self.members[member].wake_streams()

    def cut_off(self, member: int, on: bool = True) -> None:
        """Partition a member from the others: it sees no changes and has no quorum."""
        self.members[member].is_isolated = on
        self._changed()

    def replay(self, member: int, revision: int, last: int | None = None) -> None:
        """Resend the events from a revision on, up to `last` if given, on every open watch."""
        for stream in self._streams(member):
            stream.replay(revision, last)

    def duplicate_events(self, member: int, on: bool = True) -> None:
        """Send every event twice."""
        self.members[member].duplicates_events = on

    def cancel(self, member: int, reason: str = "", compact_revision: int = 0) -> None:
        """Cancel every watch; the streams stay open."""
        for stream in self._streams(member):
            stream.cancel(reason, compact_revision)

    def fragment(self, member: int, size_bytes: int) -> None:
        """Set the fragment size in bytes for watches that request fragments (etcd: 2 MiB)."""
        self.members[member].fragment_bytes = size_bytes

    def send_garbage(self, member: int, kind: Garbage, key: str = "garbage") -> None:
        """Send one invalid message on every open watch, for `key` if the message has a key."""
        for stream in self._streams(member):
            stream.send_garbage(kind, key.encode())

    def corrupt_ranges(self, member: int, kind: Garbage | None, key: str = "garbage") -> None:
        """Send invalid responses to range calls; None ends the fault."""
        self.members[member].garbage, self.members[member].garbage_key = kind, key.encode()

    def corrupt_value(self, key: str, kind: Garbage | None) -> None:
        """Send a key's value as NOT_BASE64 or HUGE_VALUE in events and lists; None ends the fault."""
        self.shared.corrupted_values.pop(key.encode(), None)
        if kind is not None:
            self.shared.corrupted_values[key.encode()] = kind

    def report_cluster_id(self, member: int, cluster_id: int | None) -> None:
        """Report another cluster id in response headers; None ends the fault."""
        self.members[member].cluster_id = cluster_id

    def backup(self) -> Backup:
        """Return a snapshot of the store for `restore`."""
        return self.store.backup()

    def restore(self, backup: Backup) -> None:
        """Restore a backup under the same cluster id and abort all connections, as a member restart does."""
        for member in self.members:
            member.drop()
            if member.known_revision is not None:
                member.known_revision = backup.revision
        self.store.restore(backup)
        self._changed()

    def revoke_all_leases(self) -> int:
        """Revoke all leases and return their number."""
        leases = list(self.store.leases)
        for lease in leases:
            self.store.revoke(lease)
        self._changed()
        return len(leases)

    def forget_tokens(self) -> None:
        """Invalidate every token."""
        self.shared.auth.forget_tokens()
