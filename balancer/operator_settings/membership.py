"""`[membership]`: sources of app servers besides the platform's list."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

from balancer.operator_settings.checks import (
    array,
    check_certificates,
    choice,
    files_digest,
    http_url,
    integer,
    read_password,
    readable_file,
    text,
)
from balancer.operator_settings.faults import Location
from balancer.operator_settings.table import Table


@dataclass(slots=True, frozen=True, kw_only=True)
class EtcdSettings(Table):
    """`[membership.etcd]`: app servers from etcd v3. `password` is the first line of `password_file`.

    The operators increase `epoch` after etcd was restored from a backup. `role` tells whether etcd may add
    servers, remove them, or both. `bears` is the number of complete lists a second that etcd can serve to all
    nodes together; the nodes, whose number is in the platform's settings, then take turns to fetch one.
    """

    endpoints: Annotated[tuple[str, ...], array(http_url, 16)] = ("http://127.0.0.1:2379",)
    prefix: Annotated[str, text(512, "/")] = "/dillport/members/"
    format: Annotated[str, choice("member", "grpc-naming")] = "member"
    ca: Annotated[Path | None, readable_file] = None
    cert: Annotated[Path | None, readable_file] = None
    key: Annotated[Path | None, readable_file] = None
    user: Annotated[str | None, text(256)] = None
    password_file: Annotated[Path | None, readable_file] = None
    epoch: Annotated[int, integer(0)] = 0
    role: Annotated[str, choice("full", "add", "remove")] = "full"
    bears: Annotated[int | None, integer(1)] = None
    password: str = field(default="", repr=False)
    certificates: str = field(default="", repr=False)  # a digest, as renewed certificates keep their paths

    @classmethod
    def validate(cls, values: dict[str, Any], given: Set[str], location: Location) -> None:
        """Check schemes, certificates and pairs of keys.

        All endpoints have one scheme, certificates need https, and `cert` and `key`, `user` and
        `password_file` are given in pairs.
        """
        schemes = {endpoint.partition(":")[0] for endpoint in values.get("endpoints", ())}
        if len(schemes) > 1:
            location.key("endpoints").add_fault("both http and https", "one of them for all")
        for key_name in ("ca", "cert", "key"):
            if key_name in values and schemes == {"http"}:
                location.key(key_name).add_fault(
                    "a certificate or key beside http endpoints", "certificates and keys only with https"
                )
        for pair in (("cert", "key"), ("user", "password_file")):
            for name, other in (pair, pair[::-1]):
                if name in given and other not in given:
                    location.key(name).add_fault(f"no {other} beside it", "both or neither")
        if schemes == {"https"}:
            check_certificates(values.get("ca"), values.get("cert"), values.get("key"), location)
        values["certificates"] = files_digest(values.get(key_name) for key_name in ("ca", "cert", "key"))
        if "password_file" in values:
            values["password"] = read_password(values["password_file"], location.key("password_file"))

    def summary(self) -> str:
        """Describe the endpoints, the keys and what etcd may change."""
        permissions = {
            "full": "add and remove servers",
            "add": "only add servers",
            "remove": "only remove servers",
        }
        login_text = f", logged in as {self.user}" if self.user else ""
        cleartext_warning = (
            " WITHOUT TLS, so the password crosses the network in the clear"
            if (login_text and self.endpoints[0].startswith("http:"))
            else ""
        )
        rate_limit_text = (
            "" if self.bears is None else f"; all nodes ask for {self.bears} whole lists a second at most"
        )
        return (
            f"etcd at {', '.join(self.endpoints)}{login_text}{cleartext_warning}; keys under {self.prefix} "
            f"in the form {self.format}; it may {permissions[self.role]}; epoch {self.epoch}{rate_limit_text}"
        )


@dataclass(slots=True, frozen=True, kw_only=True)
class Membership(Table):
    """`[membership]`: sources of app servers besides the platform's list."""

    etcd: EtcdSettings | None = None
