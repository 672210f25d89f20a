"""`[peers]`: the other nodes and the gossip with them."""

from __future__ import annotations

import ipaddress
import stat
from collections.abc import Set
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

from balancer.operator_settings.checks import (
    array,
    read_bounded,
    readable_file,
    socket_address,
)
from balancer.operator_settings.faults import Location, short_repr
from balancer.operator_settings.table import Table

KEY_FILE_FORMAT = (
    "a file of at most 4096 bytes with a key a line, 32 to 64 hexadecimal digits, the first of which signs"
)
MAX_KEY_FILE_BYTES = 4 * 1024


def datagram_address(value: object, location: Location) -> tuple[str, int] | None:
    """Check for an address to which datagrams can be sent."""
    address = socket_address(value, location)
    if address is not None and (not address[1] or ipaddress.ip_address(address[0]).is_unspecified):
        location.add_fault(short_repr(value), '"ADDRESS:PORT" of one machine, and a port from 1 on')
        return None
    return address


@dataclass(slots=True, frozen=True, kw_only=True)
class PeersSettings(Table):
    """`[peers]`: the address to listen on, some of the other nodes, and the shared keys.

    `address` is the address under which the others reach this node, by default `listen`. `keys` is the
    content of the key file.
    """

    listen: Annotated[tuple[str, int], socket_address] = ("127.0.0.1", 7946)
    address: Annotated[tuple[str, int] | None, datagram_address] = None
    seeds: Annotated[tuple[tuple[str, int], ...] | None, array(datagram_address, 16)] = None
    key_file: Annotated[Path | None, readable_file] = None
    keys: str = field(default="", repr=False)

    @classmethod
    def validate(cls, values: dict[str, Any], given: Set[str], location: Location) -> None:
        """Check for one address of the node, one family of all addresses, and keys."""
        listen = values.get("listen")
        if listen is not None and "address" not in given and ipaddress.ip_address(listen[0]).is_unspecified:
            location.key("address").add_fault(
                f"nothing beside listen at {listen[0]}", "where others see this node"
            )
        for name in ("address", "seeds"):
            addresses = values.get(name) or ()
            for address in (addresses,) if name == "address" and addresses else addresses:
                if listen is not None and (":" in address[0]) is not (":" in listen[0]):
                    location.key(name).add_fault(
                        f"{address[0]} beside listen at {listen[0]}", "all IPv4 or all IPv6"
                    )
                    break
        if "key_file" not in given:
            location.key("key_file").add_fault("nothing", KEY_FILE_FORMAT)
        elif "key_file" in values:
            values["keys"] = _read_keys(values["key_file"], location.key("key_file"))

    def key_file_warning(self) -> str:
        """A warning if others may read or change the key file; empty if not."""
        try:
            mode = stat.S_IMODE(self.key_file.stat().st_mode) if self.key_file is not None else 0
        except OSError:
            return ""
        if not mode & 0o027:
            return ""
        return f"{self.key_file} has the mode {mode:04o}: others may use or change its keys; 0600 is enough"

    def summary(self) -> str:
        """Describe the address and the seeds, and warn if others can access the key file."""
        address = format_address(self.address or self.listen)
        seeds = ", ".join(map(format_address, self.seeds or ())) or "no seeds: it waits for others"
        warning = self.key_file_warning()
        return f"other nodes by datagrams at {address}; {seeds}" + (
            f"; WARNING: {warning}" if warning else ""
        )


def format_address(address: tuple[str, int]) -> str:
    """An address in the format of gossip datagrams."""
    return f"[{address[0]}]:{address[1]}" if ":" in address[0] else f"{address[0]}:{address[1]}"


def _read_keys(path: Path, location: Location) -> str:
    """The text of the key file; a fault never shows its content."""
    from balancer.protocol.gossip import parse_keys

    content = read_bounded(path, location, KEY_FILE_FORMAT, MAX_KEY_FILE_BYTES + 1)
    if content is None:
        return ""
    if len(content) > MAX_KEY_FILE_BYTES:
        location.add_fault("a longer file", KEY_FILE_FORMAT)
        return ""
    try:
        text = content.decode("ascii")
    except UnicodeDecodeError:
        location.add_fault("a file that is not ASCII", KEY_FILE_FORMAT)
        return ""
    try:
        parse_keys(text)
    except ValueError as err:
        location.add_fault(f"a file with faults ({err})", KEY_FILE_FORMAT)
    return text
