"""What the users of a cluster may ask of it: the interface of `StandIn`, without its faults."""

from __future__ import annotations

import ssl
from collections.abc import Mapping, Sequence
from types import TracebackType
from typing import Protocol, Self


class EtcdCluster(Protocol):
    """A cluster of one or several members on loopback; an async context manager.

    Members are named by their place in `endpoints`. What writes returns the revision after it, and raises
    EtcdError where no member could do it. Writers find a member that answers by themselves.
    """

    @property
    def endpoints(self) -> list[str]:
        """Base URLs, one a member; each stays the same while its member is down."""

    @property
    def context(self) -> ssl.SSLContext | None:
        """What a client needs to trust it; None without TLS."""

    async def __aenter__(self) -> Self: ...

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None: ...

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Set a key."""

    async def delete(self, key: str, prefix: bool = False) -> int:
        """Delete a key, or all that begin with it."""

    async def txn(self, puts: Mapping[str, bytes], deletes: Sequence[str]) -> int:
        """Puts and deletes in one revision, 128 at most."""

    async def compact(self, revision: int) -> None:
        """Forget the history before a revision."""

    async def revision(self) -> int:
        """The newest revision."""

    async def grant(self, ttl_s: int) -> int:
        """A new lease; its id."""

    async def revoke(self, lease: int) -> int:
        """End a lease; its keys go."""

    def freeze(self, member: int) -> None:
        """Stop it as SIGSTOP does: connects succeed, and it says nothing."""

    def thaw(self, member: int) -> None:
        """Let it go on, as SIGCONT does."""

    async def kill(self, member: int) -> None:
        """End it as SIGKILL does: connections just end."""

    async def terminate(self, member: int) -> None:
        """End it as SIGTERM does: streams are told."""

    async def restart(self, member: int) -> None:
        """Start it again, at the same address with the same data; it answers when this returns."""

    async def enable_auth(self, user: str, password: str, readable: str = "") -> None:
        """Let nobody in without a name and a password from now on.

        `user` may do all, or with `readable` do nothing but read the keys that begin with it. The cluster's
        own writes go on.
        """
