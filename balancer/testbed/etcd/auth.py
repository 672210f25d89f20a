"""Who is let in: names, passwords and tokens, as etcd has them with its auth on; pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from balancer.testbed.etcd.store import StoreError


@dataclass(slots=True)
class User:
    """Who is let in; `readable` is the prefix of what they may read, None for all, and writing too."""

    password: str = field(repr=False)
    readable: bytes | None


class Auth:
    """Names, passwords and tokens; a token lives `ttl_ms` from its last use on."""

    def __init__(self, now_ms: Callable[[], float], ttl_ms: float) -> None:
        self.now_ms, self.ttl_ms = now_ms, ttl_ms
        self.enabled = False
        self.users: dict[str, User] = {}
        self._tokens: dict[str, tuple[str, float]] = {}
        self._count = 0

    def authenticate(self, name: str, password: str) -> str:
        """A new token. Raises StoreError."""
        if not self.enabled:
            raise StoreError("etcdserver: authentication is not enabled", 9)
        user = self.users.get(name)
        if user is None or user.password != password:
            raise StoreError("etcdserver: authentication failed, invalid user ID or password", 3)
        self._tokens = {token: kept for token, kept in self._tokens.items() if kept[1] > self.now_ms()}
        self._count += 1
        token = f"standInToken.{self._count}"
        self._tokens[token] = (name, self.now_ms() + self.ttl_ms)
        return token

    def forget_tokens(self) -> None:
        """As when a member came back without what it knew of them."""
        self._tokens.clear()

    def who(self, token: str) -> User | None:
        """Whose token it is; None for no token. Raises StoreError for one that is not known any more."""
        if not self.enabled or not token:
            return None
        name, ends_ms = self._tokens.get(token, ("", 0.0))
        if ends_ms <= self.now_ms():
            raise StoreError("etcdserver: invalid auth token", 16)
        self._tokens[token] = (name, self.now_ms() + self.ttl_ms)
        return self.users[name]

    def check(self, token: str, key: bytes, end: bytes, write: bool) -> None:
        """Whether who shows this token may do this. Raises StoreError."""
        user = self.who(token)
        if not self.enabled:
            return
        if user is None:
            raise StoreError("etcdserver: user name is empty", 3)
        if user.readable is None:
            return
        last = end if end and end != b"\0" else key
        covered = key.startswith(user.readable) and (
            last.startswith(user.readable) or last == _after(user.readable)
        )
        if write or end == b"\0" or not covered:
            raise StoreError("etcdserver: permission denied", 7)


def _after(prefix: bytes) -> bytes:
    return prefix[:-1] + bytes([prefix[-1] + 1])
