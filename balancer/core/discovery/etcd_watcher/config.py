"""The settings of the operators' etcd cluster, and the parsing of an endpoint's URL."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple
from urllib.parse import urlsplit


@dataclass(slots=True, frozen=True)
class EtcdConfig:
    """The operators' etcd settings; the fields have the names of the TOML keys.

    `ca`, `cert` and `key` are file paths. Raising `epoch` makes the watcher accept a lower revision than the
    last one. `bears` is the number of snapshots per second that etcd can serve to all nodes together, None
    if unknown.
    """

    endpoints: tuple[str, ...]
    prefix: str
    format: str = "member"
    ca: str | None = None
    cert: str | None = None
    key: str | None = None
    user: str | None = None
    password: str | None = field(default=None, repr=False)
    epoch: int = 0
    bears: int | None = None


class EndpointAddress(NamedTuple):
    """The address of an etcd endpoint; `host` is an IP address or a DNS name."""

    host: str
    port: int
    uses_tls: bool


def parse_endpoint_url(url: str) -> EndpointAddress:
    """Parse `http://HOST:PORT` or `https://HOST:PORT`; raises ValueError.

    A URL with a user or a password is rejected, because URLs are logged.
    """
    expected_form = "not http://HOST:PORT or https://HOST:PORT"
    try:
        parts = urlsplit(url)
        host, port = parts.hostname, parts.port
    except ValueError:
        raise ValueError(f"{url!r:.120} is {expected_form}") from None
    if "@" in parts.netloc:
        raise ValueError("an endpoint has a user or password in it; they have settings of their own")
    excess = parts.path.rstrip("/") + parts.query + parts.fragment
    if parts.scheme not in ("http", "https") or not host or not port or excess:
        raise ValueError(f"{url!r:.120} is {expected_form}")
    return EndpointAddress(host, port, parts.scheme == "https")
