"""`[peers]`: the other nodes, and the datagrams between them."""

from __future__ import annotations

import ipaddress
import stat
from collections.abc import Set
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

from balancer.operator_settings.checks import (
    address,
    array,
    read_bounded,
    readable,
)
from balancer.operator_settings.faults import Location, short_repr
from balancer.operator_settings.table import Table

KEYS = "a file of at most 4096 bytes with a key a line, 32 to 64 hexadecimal digits, the first of which signs"
MAX_KEYS = 4 * 1024  # bytes of a key file


def reached(value: object, at: Location) -> tuple[str, int] | None:
    """An address that datagrams can be sent to."""
    found = address(value, at)
    if found is not None and (not found[1] or ipaddress.ip_address(found[0]).is_unspecified):
        at.fault(short_repr(value), '"ADDRESS:PORT" of one machine, and a port from 1 on')
        return None
    return found


@dataclass(slots=True, frozen=True, kw_only=True)
class PeersSettings(Table):
    """`[peers]`: where this node hears the others, where to find some of them, the key that all share.

    `address` is where they see this node, by default where it listens. `keys` is what the key file says.
    """

    listen: Annotated[tuple[str, int], address] = ("127.0.0.1", 7946)
    address: Annotated[tuple[str, int] | None, reached] = None
    seeds: Annotated[tuple[tuple[str, int], ...] | None, array(reached, 16)] = None
    key_file: Annotated[Path | None, readable] = None
    keys: str = field(default="", repr=False)

    @classmethod
    def validate(cls, values: dict[str, Any], given: Set[str], at: Location) -> None:
        """One address to be seen at, one family of addresses, and keys."""
        listen = values.get("listen")
        if listen is not None and "address" not in given and ipaddress.ip_address(listen[0]).is_unspecified:
            at.key("address").fault(f"nothing beside listen at {listen[0]}", "where others see this node")
        for name in ("address", "seeds"):
            told = values.get(name) or ()
            for one in (told,) if name == "address" and told else told:
                if listen is not None and (":" in one[0]) is not (":" in listen[0]):
                    at.key(name).fault(f"{one[0]} beside listen at {listen[0]}", "all IPv4 or all IPv6")
                    break
        if "key_file" not in given:
            at.key("key_file").fault("nothing", KEYS)
        elif "key_file" in values:
            values["keys"] = _keys(values["key_file"], at.key("key_file"))

    def too_open(self) -> str:
        """What is wrong with who may read or change the key file, in plain words, or nothing."""
        try:
            mode = stat.S_IMODE(self.key_file.stat().st_mode) if self.key_file is not None else 0
        except OSError:
            return ""
        if not mode & 0o027:
            return ""
        return f"{self.key_file} has the mode {mode:04o}: others may use or change its keys; 0600 is enough"

    def summary(self) -> str:
        """Where it listens, whom it asks, whether its keys lie open."""
        at = written(self.address or self.listen)
        seeds = ", ".join(map(written, self.seeds or ())) or "no seeds: it waits for others"
        opened = self.too_open()
        return f"other nodes by datagrams at {at}; {seeds}" + (f"; WARNING: {opened}" if opened else "")


def written(at: tuple[str, int]) -> str:
    """An address as datagrams have it."""
    return f"[{at[0]}]:{at[1]}" if ":" in at[0] else f"{at[0]}:{at[1]}"


def _keys(path: Path, at: Location) -> str:
    """The file's text; a fault never shows what is in it."""
    from balancer.protocol.gossip import parse_keys

    told = read_bounded(path, at, KEYS, MAX_KEYS + 1)
    if told is None:
        return ""
    if len(told) > MAX_KEYS:
        at.fault("a longer file", KEYS)
        return ""
    try:
        text = told.decode("ascii")
    except UnicodeDecodeError:
        at.fault("a file that is not ASCII", KEYS)
        return ""
    try:
        parse_keys(text)
    except ValueError as err:
        at.fault(f"a file with faults ({err})", KEYS)
    return text
