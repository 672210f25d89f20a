"""Records of endpoints, and the parser and checks of discovery's JSON format.

Times are in milliseconds. Invalid entries are returned next to the valid ones; an invalid list raises
`EndpointListError`.
"""

from __future__ import annotations

import ipaddress
import math
import re
from dataclasses import dataclass
from functools import lru_cache

from balancer import interface as api

PHASE_BY_NAME = {
    "in_service": api.Phase.UP,
    "terminating": api.Phase.DRAINING,
    "terminated": api.Phase.REMOVED,
}
_INTERFACE_NAME = re.compile(r"[A-Za-z0-9._-]{1,15}")  # Linux allows 15 bytes
MAX_TEXT_CHARACTERS = 256  # of an id, a zone or a kind, so that the memory of a list is bounded


class EndpointListError(ValueError):
    """An entry of a list, or a list as a whole, is invalid."""


Address = tuple[str, int]


@dataclass(slots=True, frozen=True)
class EndpointRecord:
    """An immutable entry of a list: the endpoint as the decision module sees it, and its address."""

    endpoint: api.Endpoint
    address: Address

    @property
    def id(self) -> str:
        """The endpoint's id, the same at every node and in every source."""
        return self.endpoint.id


@dataclass(slots=True, frozen=True)
class InvalidEntry:
    """An entry that cannot be parsed. `key` is its id if it has one, otherwise its position in the list.

    `is_draining` is True if the entry, though invalid, names a backend that drains; the drain still applies.
    """

    key: str
    reason: str
    is_draining: bool = False


@dataclass(slots=True, frozen=True)
class EndpointList:
    """A complete list (`is_complete`), or the changes since the previous one.

    `records` are up or draining, `removed_ids` are removed; a complete list also removes every endpoint that
    it does not name. An invalid entry does not affect the others.
    """

    revision: int
    is_complete: bool
    records: tuple[EndpointRecord, ...]
    removed_ids: tuple[str, ...] = ()
    invalid_entries: tuple[InvalidEntry, ...] = ()


def parse_address(value: object) -> Address:
    """Parse `HOST:PORT`, where the host is an IP address, as there is no DNS; raises ValueError."""
    if not isinstance(value, str):
        raise ValueError(f"{value!r:.120} is not text")
    host, _, port = value.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    _check_ip_address(host)
    if not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"{value!r:.120} has no port")
    return host, int(port)


@lru_cache(maxsize=1024)  # many endpoints share a host, and this check is most of the cost of an entry
def _check_ip_address(host: str) -> None:
    scope = getattr(ipaddress.ip_address(host), "scope_id", None)
    if scope is not None and not _INTERFACE_NAME.fullmatch(scope):
        raise ValueError(f"{host!r:.120} has no valid interface name after the %")


def _parse_text(value: object, field_name: str) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{field_name} is not text: {value!r:.120}")
    if len(value) > MAX_TEXT_CHARACTERS:
        raise ValueError(f"{field_name} is longer than {MAX_TEXT_CHARACTERS} characters")
    return value


def _parse_number(value: object, field_name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < math.inf:
        raise ValueError(f"{field_name} is not a number of at least 0: {value!r:.120}")
    try:
        return float(value)
    except OverflowError:
        raise ValueError(f"{field_name} is too large: {value!r:.120}") from None


def parse_record(row: object, key_id: str | None = None) -> EndpointRecord:
    """Parse an entry in discovery's format; raises EndpointListError.

    `key_id` is the id if the source has it outside the entry, as in etcd's key.
    """
    if not isinstance(row, dict):
        raise EndpointListError(f"not an object: {row!r:.120}")
    try:
        endpoint_id = row.get("id", key_id)
        if not isinstance(endpoint_id, str) or not endpoint_id:
            raise ValueError(f"id is {endpoint_id!r:.120}")
        if key_id is not None and endpoint_id != key_id:
            raise ValueError(f"id {endpoint_id!r:.120} is not that of its key")
        if "phase" not in row or row["phase"] not in PHASE_BY_NAME:
            raise ValueError(f"phase is {row.get('phase')!r:.120}, not one of {', '.join(PHASE_BY_NAME)}")
        cell = row.get("cell", -1)
        if isinstance(cell, bool) or not isinstance(cell, int):
            raise ValueError(f"cell is not an integer: {cell!r:.120}")
        endpoint = api.Endpoint(
            id=_parse_text(endpoint_id, "id"),
            zone=_parse_text(row.get("locality", ""), "locality"),
            cell=cell,
            weight=_parse_number(row.get("size", 1.0), "size"),
            phase=PHASE_BY_NAME[row["phase"]],
            started_at_ms=_parse_number(row.get("up_since_ms", 0), "up_since_ms"),
            kind=_parse_text(row.get("flavor", ""), "flavor"),
        )
        address = parse_address(row.get("host_port"))
        if not address[1]:
            raise ValueError("host_port has port 0")
        return EndpointRecord(endpoint, address)
    except (TypeError, ValueError) as err:
        raise EndpointListError(str(err)) from None


class EndpointListParser:
    """Parses a list in steps, so that a list of thousands of entries does not block the event loop."""

    def __init__(self, raw: object) -> None:
        """`raw` is a list in discovery's format; raises EndpointListError if its fields are invalid."""
        if not isinstance(raw, dict) or not isinstance(raw.get("members"), list):
            raise EndpointListError(f"not a list: {raw!r:.120}")
        revision, is_complete = raw.get("revision"), raw.get("complete", False)
        if isinstance(revision, bool) or not isinstance(revision, int) or not isinstance(is_complete, bool):
            raise EndpointListError(f"not a list: {raw!r:.120}")
        self.revision, self.is_complete = revision, is_complete
        self._rows: list[object] = raw["members"]
        self._next_index = 0
        self._records_by_id: dict[str, EndpointRecord] = {}
        self._removed_ids: dict[str, None] = {}
        self._invalid_entries: list[InvalidEntry] = []

    def read(self, count: int) -> bool:
        """Parse up to `count` further entries; returns whether all are parsed."""
        end = min(self._next_index + count, len(self._rows))
        for index in range(self._next_index, end):
            self._read_row(index, self._rows[index])
        self._next_index = end
        return end == len(self._rows)

    def _read_row(self, index: int, row: object) -> None:
        endpoint_id = row.get("id") if isinstance(row, dict) else None
        if (
            isinstance(row, dict)
            and isinstance(endpoint_id, str)
            and endpoint_id
            and row.get("phase") == "terminated"
        ):
            self._removed_ids[endpoint_id] = None
            self._records_by_id.pop(endpoint_id, None)
            return
        try:
            record = parse_record(row)
        except EndpointListError as err:
            is_draining = isinstance(row, dict) and row.get("phase") == "terminating"
            key = endpoint_id if isinstance(endpoint_id, str) and endpoint_id else f"entry {index}"
            self._invalid_entries.append(InvalidEntry(key, str(err), is_draining))
            return
        self._removed_ids.pop(record.id, None)
        self._records_by_id[record.id] = record  # the last entry of an id applies

    def result(self) -> EndpointList:
        """The list of the entries that were parsed."""
        records, removed_ids, invalid_entries = (
            tuple(self._records_by_id.values()),
            tuple(self._removed_ids),
            tuple(self._invalid_entries),
        )
        return EndpointList(self.revision, self.is_complete, records, removed_ids, invalid_entries)


def parse_endpoint_list(raw: object) -> EndpointList:
    """Parse a list in discovery's format in one call; raises EndpointListError like `EndpointListParser`."""
    parser = EndpointListParser(raw)
    while not parser.read(1000):
        pass
    return parser.result()
