"""Backends as a list names them, and the checks of an entry. No wire but discovery's own JSON form."""

from __future__ import annotations

import ipaddress
import math
import re
from dataclasses import dataclass
from functools import lru_cache

from balancer import interface as api

PHASES = {
    "in_service": api.Phase.UP,
    "terminating": api.Phase.DRAINING,
    "terminated": api.Phase.REMOVED,
}
_INTERFACE = re.compile(r"[A-Za-z0-9._-]{1,15}")  # Linux allows 15 bytes
MAX_TEXT_CHARACTERS = 256  # characters of an id, a zone or a kind: what a list holds has a bound


class EndpointListError(ValueError):
    """An entry or a line of the list makes no sense."""


Address = tuple[str, int]


@dataclass(slots=True, frozen=True)
class EndpointRecord:
    """One backend as a list names it: the module's entry, never changed once made, and where it listens."""

    endpoint: api.Endpoint
    address: Address

    @property
    def id(self) -> str:
        """Its name, the same at every node and in every source."""
        return self.endpoint.id


@dataclass(slots=True, frozen=True)
class InvalidEntry:
    """An entry that cannot be read. `key` is its id as far as it has one, else its place in the list.

    `leaving` says that the entry, unreadable as it is, names a backend that drains: that much is obeyed.
    """

    key: str
    reason: str
    is_draining: bool = False


@dataclass(slots=True, frozen=True)
class EndpointList:
    """A whole list (`complete`), or the changes since the one before.

    `members` are up or draining, `removed` are gone; a whole list removes whoever it does not name. Entries
    that cannot be read are `faults`: they cost nothing but themselves.
    """

    revision: int
    is_complete: bool
    records: tuple[EndpointRecord, ...]
    removed_ids: tuple[str, ...] = ()
    invalid_entries: tuple[InvalidEntry, ...] = ()


def parse_address(value: object) -> Address:
    """`HOST:PORT` with a literal address, as there is no DNS; raises ValueError."""
    if not isinstance(value, str):
        raise ValueError(f"{value!r:.120} is not text")
    host, _, port = value.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    _literal(host)
    if not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"{value!r:.120} has no port")
    return host, int(port)


@lru_cache(maxsize=1024)  # many members share a host, and this check is most of what an entry costs
def _literal(host: str) -> None:
    scope = getattr(ipaddress.ip_address(host), "scope_id", None)
    if scope is not None and not _INTERFACE.fullmatch(scope):
        raise ValueError(f"{host!r:.120} has no name of an interface behind its %")


def _text(value: object, what: str) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{what} is not text: {value!r:.120}")
    if len(value) > MAX_TEXT_CHARACTERS:
        raise ValueError(f"{what} is longer than {MAX_TEXT_CHARACTERS} characters")
    return value


def _number(value: object, what: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < math.inf:
        raise ValueError(f"{what} is no number from 0 on: {value!r:.120}")
    try:
        return float(value)
    except OverflowError:
        raise ValueError(f"{what} is too large: {value!r:.120}") from None


def parse_record(row: object, name: str | None = None) -> EndpointRecord:
    """An entry in discovery's form; `name` is its id where the list has it elsewhere. Raises ListError."""
    if not isinstance(row, dict):
        raise EndpointListError(f"not an object: {row!r:.120}")
    try:
        told = row.get("id", name)
        if not isinstance(told, str) or not told:
            raise ValueError(f"id is {told!r:.120}")
        if name is not None and told != name:
            raise ValueError(f"id {told!r:.120} is not that of its key")
        if "phase" not in row or row["phase"] not in PHASES:
            raise ValueError(f"phase is {row.get('phase')!r:.120}, not one of {', '.join(PHASES)}")
        cell = row.get("cell", -1)
        if isinstance(cell, bool) or not isinstance(cell, int):
            raise ValueError(f"cell is no whole number: {cell!r:.120}")
        entry = api.Endpoint(
            id=_text(told, "id"),
            zone=_text(row.get("locality", ""), "locality"),
            cell=cell,
            weight=_number(row.get("size", 1.0), "size"),
            phase=PHASES[row["phase"]],
            started_at_ms=_number(row.get("up_since_ms", 0), "up_since_ms"),
            kind=_text(row.get("flavor", ""), "flavor"),
        )
        where = parse_address(row.get("host_port"))
        if not where[1]:
            raise ValueError("host_port has port 0")
        return EndpointRecord(entry, where)
    except (TypeError, ValueError) as err:
        raise EndpointListError(str(err)) from None


class EndpointListParser:
    """Reads a list piece by piece, so that one of thousands of entries need not be read in one go."""

    def __init__(self, raw: object) -> None:
        """`raw` is a list in discovery's form; raises ListError where that much cannot be read."""
        if not isinstance(raw, dict) or not isinstance(raw.get("members"), list):
            raise EndpointListError(f"not a list: {raw!r:.120}")
        revision, complete = raw.get("revision"), raw.get("complete", False)
        if isinstance(revision, bool) or not isinstance(revision, int) or not isinstance(complete, bool):
            raise EndpointListError(f"not a list: {raw!r:.120}")
        self.revision, self.is_complete = revision, complete
        self._rows: list[object] = raw["members"]
        self._next = 0
        self._members: dict[str, EndpointRecord] = {}
        self._removed: dict[str, None] = {}
        self._faults: list[InvalidEntry] = []

    def read(self, count: int) -> bool:
        """Read up to `count` further entries; whether the list is whole by now."""
        end = min(self._next + count, len(self._rows))
        for index in range(self._next, end):
            self._entry(index, self._rows[index])
        self._next = end
        return end == len(self._rows)

    def _entry(self, index: int, row: object) -> None:
        name = row.get("id") if isinstance(row, dict) else None
        if isinstance(row, dict) and isinstance(name, str) and name and row.get("phase") == "terminated":
            self._removed[name] = None
            self._members.pop(name, None)
            return
        try:
            found = parse_record(row)
        except EndpointListError as err:
            leaving = isinstance(row, dict) and row.get("phase") == "terminating"
            key = name if isinstance(name, str) and name else f"entry {index}"
            self._faults.append(InvalidEntry(key, str(err), leaving))
            return
        self._removed.pop(found.id, None)
        self._members[found.id] = found  # named twice: the later entry holds

    def result(self) -> EndpointList:
        """What was read."""
        members, removed, faults = tuple(self._members.values()), tuple(self._removed), tuple(self._faults)
        return EndpointList(self.revision, self.is_complete, members, removed, faults)


def parse_endpoint_list(raw: object) -> EndpointList:
    """A list in discovery's form, in one go; raises ListError where not even its frame can be read."""
    builder = EndpointListParser(raw)
    while not builder.read(1000):
        pass
    return builder.result()
