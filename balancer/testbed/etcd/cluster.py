"""The interface of an etcd cluster under test: that of `EtcdEmulator` without fault injection."""

from __future__ import annotations

import ssl
from collections.abc import Mapping, Sequence
from types import TracebackType
from typing import Protocol, Self


class EtcdCluster(Protocol):
    """A cluster of one or several members on loopback; an async context manager.

    Members are identified by their index in `endpoints`. Writes return the revision after them, raise
    EtcdError if no member could carry them out, and choose a responsive member themselves.
    """

    @property
    def endpoints(self) -> list[str]:
        """Base URLs, one per member; a URL stays the same while its member is down."""

    @property
    def context(self) -> ssl.SSLContext | None:
        """The TLS context for clients; None without TLS."""

    async def __aenter__(self) -> Self: ...

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None: ...

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Set a key."""

    async def delete(self, key: str, prefix: bool = False) -> int:
        """Delete a key, or all keys with that prefix."""

    async def txn(self, puts: Mapping[str, bytes], deletes: Sequence[str]) -> int:
        """Apply at most 128 puts and deletes in one revision."""

    async def compact(self, revision: int) -> None:
        """Compact the history before a revision."""

    async def revision(self) -> int:
        """Return the latest revision."""

    async def grant(self, ttl_s: int) -> int:
        """Grant a lease and return its id."""

    async def revoke(self, lease: int) -> int:
        """Revoke a lease, which deletes its keys."""

    def freeze(self, member: int) -> None:
        """Stop a member as SIGSTOP does: connects succeed, but it sends nothing."""

    def thaw(self, member: int) -> None:
        """Resume a member as SIGCONT does."""

    async def kill(self, member: int) -> None:
        """End a member as SIGKILL does: its connections break without notice."""

    async def terminate(self, member: int) -> None:
        """End a member as SIGTERM does: its streams end with an error."""

    async def restart(self, member: int) -> None:
        """Start a member again with the same address and data; it serves requests on return."""

    async def enable_auth(self, user: str, password: str, readable: str = "") -> None:
        """Require a user name and password from now on.

        `user` has full access, or with `readable` may only read keys with that prefix. The cluster's own
        writes keep working.
        """
