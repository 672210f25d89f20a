"""Emulates etcd's authentication: users, passwords and tokens, without I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from balancer.testbed.etcd.store import StoreError


@dataclass(slots=True)
class User:
    """A user; `readable` is the only prefix they may read, or None for full read and write access."""

    password: str = field(repr=False)
    readable: bytes | None


class Auth:
    """Users and their tokens; a token expires `ttl_ms` after its last use."""

    def __init__(self, now_ms: Callable[[], float], ttl_ms: float) -> None:
        self.now_ms, self.ttl_ms = now_ms, ttl_ms
        self.enabled = False
        self.users: dict[str, User] = {}
        self._tokens: dict[str, tuple[str, float]] = {}
        self._token_count = 0

    def authenticate(self, name: str, password: str) -> str:
        """Issue a token. Raises StoreError if auth is off or the credentials are wrong."""
        if not self.enabled:
            raise StoreError("etcdserver: authentication is not enabled", 9)
        user = self.users.get(name)
        if user is None or user.password != password:
            raise StoreError("etcdserver: authentication failed, invalid user ID or password", 3)
        self._tokens = {token: kept for token, kept in self._tokens.items() if kept[1] > self.now_ms()}
        self._token_count += 1
        token = f"standInToken.{self._token_count}"
        self._tokens[token] = (name, self.now_ms() + self.ttl_ms)
        return token

    def forget_tokens(self) -> None:
        """Invalidate all tokens, as a member restart does."""
        self._tokens.clear()

    def user_of(self, token: str) -> User | None:
        """Return the user of a token, None without one or with auth off. Raises StoreError if invalid."""
        if not self.enabled or not token:
            return None
        name, expires_ms = self._tokens.get(token, ("", 0.0))
        if expires_ms <= self.now_ms():
            raise StoreError("etcdserver: invalid auth token", 16)
        self._tokens[token] = (name, self.now_ms() + self.ttl_ms)
        return self.users[name]

    def check(self, token: str, key: bytes, end: bytes, write: bool) -> None:
        """Check that the user of a token may access a range. Raises StoreError."""
        user = self.user_of(token)
        if not self.enabled:
            return
        if user is None:
            raise StoreError("etcdserver: user name is empty", 3)
        if user.readable is None:
            return
        last = end if end and end != b"\0" else key
        is_covered = key.startswith(user.readable) and (
            last.startswith(user.readable) or last == _prefix_end(user.readable)
        )
        if write or end == b"\0" or not is_covered:
            raise StoreError("etcdserver: permission denied", 7)


def _prefix_end(prefix: bytes) -> bytes:
    return prefix[:-1] + bytes([prefix[-1] + 1])
