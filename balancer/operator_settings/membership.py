"""`[membership]`: where app servers are learned beside the platform's list."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

from balancer.operator_settings.checks import (
    array,
    certificates,
    choice,
    files_digest,
    readable,
    secret,
    text,
    url,
    whole,
)
from balancer.operator_settings.faults import Location
from balancer.operator_settings.table import Table


@dataclass(slots=True, frozen=True, kw_only=True)
class EtcdSettings(Table):
    """`[membership.etcd]`: app servers learned from etcd v3. `password` is the first line of its file.

    `epoch` is raised by the operators once etcd was restored from a backup; `role` says whether etcd's word
    may add servers, remove them, or both. `bears` is how many whole lists a second etcd bears of all nodes
    together, whose number the platform's settings tell: each then asks at its turn.
    """

    endpoints: Annotated[tuple[str, ...], array(url, 16)] = ("http://127.0.0.1:2379",)
    prefix: Annotated[str, text(512, "/")] = "/dillport/members/"
    format: Annotated[str, choice("member", "grpc-naming")] = "member"
    ca: Annotated[Path | None, readable] = None
    cert: Annotated[Path | None, readable] = None
    key: Annotated[Path | None, readable] = None
    user: Annotated[str | None, text(256)] = None
    password_file: Annotated[Path | None, readable] = None
    epoch: Annotated[int, whole(0)] = 0
    role: Annotated[str, choice("full", "add", "remove")] = "full"
    bears: Annotated[int | None, whole(1)] = None
    password: str = field(default="", repr=False)
    certificates: str = field(default="", repr=False)  # a digest: they are renewed in their place

    @classmethod
    def validate(cls, values: dict[str, Any], given: Set[str], at: Location) -> None:
        """One scheme; certificates only with https; `cert` and `key`, `user` and `password_file` in pairs."""
        schemes = {endpoint.partition(":")[0] for endpoint in values.get("endpoints", ())}
        if len(schemes) > 1:
            at.key("endpoints").fault("both http and https", "one of them for all")
        for name in ("ca", "cert", "key"):
            if name in values and schemes == {"http"}:
                at.key(name).fault("a certificate or key beside http endpoints", "it only with https")
        for pair in (("cert", "key"), ("user", "password_file")):
            for one, other in (pair, pair[::-1]):
                if one in given and other not in given:
                    at.key(one).fault(f"no {other} beside it", "both or neither")
        if schemes == {"https"}:
            certificates(values.get("ca"), values.get("cert"), values.get("key"), at)
        values["certificates"] = files_digest(values.get(name) for name in ("ca", "cert", "key"))
        if "password_file" in values:
            values["password"] = secret(values["password_file"], at.key("password_file"))

    def summary(self) -> str:
        """Which etcd, what of it, what its word may do."""
        does = {"full": "add and remove servers", "add": "only add servers", "remove": "only remove servers"}
        login = f", logged in as {self.user}" if self.user else ""
        clear = (
            " WITHOUT TLS, so the password crosses the network in the clear"
            if (login and self.endpoints[0].startswith("http:"))
            else ""
        )
        turns = "" if self.bears is None else f"; all nodes ask for {self.bears} whole lists a second at most"
        return (
            f"etcd at {', '.join(self.endpoints)}{login}{clear}; keys under {self.prefix} in the form "
            f"{self.format}; it may {does[self.role]}; epoch {self.epoch}{turns}"
        )


@dataclass(slots=True, frozen=True, kw_only=True)
class Membership(Table):
    """`[membership]`: where app servers are learned beside the platform's list."""

    etcd: EtcdSettings | None = None
