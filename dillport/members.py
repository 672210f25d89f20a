"""Backends as a list names them, and the checks of an entry. No wire but discovery's own JSON form."""

from __future__ import annotations

import ipaddress
import math
from dataclasses import dataclass

from dillport import interface as api

PHASES = {
    "in_service": api.Phase.UP,
    "terminating": api.Phase.DRAINING,
    "terminated": api.Phase.GONE,
}


class ListError(ValueError):
    """An entry or a line of the list makes no sense."""


Address = tuple[str, int]


@dataclass(slots=True, frozen=True)
class Member:
    """One backend as discovery lists it: the module's entry and where it listens."""

    entry: api.Entry
    address: Address


@dataclass(slots=True, frozen=True)
class Listing:
    """One list, or one line of a watch."""

    revision: int
    complete: bool
    members: tuple[Member, ...]


def address(value: object) -> Address:
    """`HOST:PORT` with a literal address, as there is no DNS; raises ValueError."""
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not text")
    host, _, port = value.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    if not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"{value!r} has no port")
    return host, int(port)


def _member(row: object) -> Member:
    if not isinstance(row, dict):
        raise ListError(f"not an object: {row!r:.120}")
    try:
        name, weight, started = row["id"], row.get("size", 1.0), row.get("up_since_ms", 0)
        if not isinstance(name, str) or not name:
            raise ValueError("id")
        if isinstance(weight, bool) or not isinstance(weight, (int, float)) or not 0 <= weight < math.inf:
            raise ValueError("size")
        if isinstance(started, bool) or not isinstance(started, (int, float)) or not 0 <= started < math.inf:
            raise ValueError("up_since_ms")
        entry = api.Entry(
            backend=name,
            zone=str(row.get("locality", "")),
            cell=int(row.get("cell", -1)),
            weight=float(weight),
            phase=PHASES[row["phase"]],
            started_at=float(started),
            kind=str(row.get("flavor", "")),
        )
        return Member(entry, address(row["host_port"]))
    except (KeyError, TypeError, ValueError) as err:
        raise ListError(f"bad entry ({err}): {row!r:.120}") from None


def listing(raw: object) -> Listing:
    """A list in discovery's form; raises ListError."""
    if not isinstance(raw, dict) or not isinstance(raw.get("members"), list):
        raise ListError(f"not a list: {raw!r:.120}")
    revision, complete = raw.get("revision"), raw.get("complete", False)
    if isinstance(revision, bool) or not isinstance(revision, int) or not isinstance(complete, bool):
        raise ListError(f"not a list: {raw!r:.120}")
    return Listing(revision, complete, tuple(map(_member, raw["members"])))
