"""Checks of values, files and installed packages, for the fields of any table.

A check converts a TOML value to the value of a field, or adds a fault to its `Location` and returns None.
"""

from __future__ import annotations

import contextlib
import importlib.util
import ipaddress
import os
import re
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TypeVar
from urllib.parse import urlsplit

from balancer.operator_settings.faults import Location, short_repr

MAX_SECRET_BYTES = 4 * 1024  # of a password file
MAX_SOCKET_PATH_BYTES = 100  # of a Unix socket's path; the kernel allows 107

ValueT = TypeVar("ValueT")
ItemT = TypeVar("ItemT")

_HOST_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,251}[A-Za-z0-9])?")

Check = Callable[[object, Location], ValueT | None]
"""Converts a TOML value to the value of a field; returns None after adding a fault to the location."""


# --- values --------------------------------------------------------------------------------------------


def describe_type(value: object) -> str:
    """The type of a value in words, without its content, which may be secret."""
    type_names: dict[type, str] = {bool: "true or false", int: "a number", float: "a number", str: "text"}
    return type_names.get(type(value), "a table" if isinstance(value, dict) else "an array or a date")


def integer(minimum: int) -> Check[int]:
    """Check for an integer of at least `minimum`."""

    def check(value: object, location: Location) -> int | None:
        if (
            isinstance(value, bool)
            or not isinstance(value, int)
            or value < minimum
            or value.bit_length() > 63
        ):
            location.add_fault(short_repr(value), f"a whole number from {minimum} on, of 63 bits at most")
            return None
        return value

    return check


def seconds(minimum_s: int, maximum_s: int) -> Check[int]:
    """Check for an integer number of seconds from `minimum_s` to `maximum_s`."""

    def check(value: object, location: Location) -> int | None:
        if isinstance(value, bool) or not isinstance(value, int) or not minimum_s <= value <= maximum_s:
            location.add_fault(
                short_repr(value), f"a whole number of seconds from {minimum_s} to {maximum_s}"
            )
            return None
        return value

    return check


def choice(*choices: str) -> Check[str]:
    """Check for one of these texts."""

    def check(value: object, location: Location) -> str | None:
        if not isinstance(value, str) or value not in choices:
            location.add_fault(short_repr(value), " or ".join(f'"{choice_text}"' for choice_text in choices))
            return None
        return value

    return check


def text(max_characters: int, suffix: str = "") -> Check[str]:
    """Check for text of 1 to `max_characters` printable characters that ends with `suffix`."""
    allowed = f"text of 1 to {max_characters} printable characters" + (
        f' that ends in "{suffix}"' if suffix else ""
    )

    def check(value: object, location: Location) -> str | None:
        is_valid = isinstance(value, str) and 0 < len(value) <= max_characters and value.isprintable()
        if not is_valid or not str(value).endswith(suffix):
            location.add_fault(short_repr(value), allowed)
            return None
        return str(value)

    return check


def array(item_check: Check[ItemT], max_items: int) -> Check[tuple[ItemT, ...]]:
    """Check for an array of 1 to `max_items` different items, each of which passes `item_check`."""

    def check(value: object, location: Location) -> tuple[ItemT, ...] | None:
        if not isinstance(value, list) or not 0 < len(value) <= max_items:
            found = f"an array of {len(value)}" if isinstance(value, list) else short_repr(value)
            location.add_fault(found, f"an array of 1 to {max_items}")
            return None
        items: list[ItemT] = []
        for index, raw in enumerate(value):
            item = item_check(raw, location.item(index))
            if item is None:
                continue
            if item in items:
                location.item(index).add_fault(f"{short_repr(raw)} a second time", "each one once")
            items.append(item)
        return tuple(items) if len(items) == len(value) else None

    return check


def http_url(value: object, location: Location) -> str | None:
    """Check for `http://HOST:PORT` or `https://HOST:PORT`, normalized. A password in it is never shown."""
    allowed = "http://HOST:PORT or https://HOST:PORT"
    if not isinstance(value, str):
        location.add_fault(short_repr(value), allowed)
        return None
    try:
        parts = urlsplit(value)
        host, port = parts.netloc.rpartition(":")[0], parts.port
    except ValueError:
        host, port, parts = "", None, urlsplit("")
    if "@" in value:
        location.add_fault("a URL with a user or a password in it", f"{allowed}; see user and password_file")
        return None
    extra_parts = parts.path.removeprefix("/") or parts.query or parts.fragment
    if parts.scheme not in ("http", "https") or not port or not _is_host(host) or extra_parts:
        location.add_fault(short_repr(value), allowed)
        return None
    return f"{parts.scheme}://{host.lower()}:{port}"


def _is_host(host: str) -> bool:
    try:
        return (
            bool(ipaddress.IPv6Address(host[1:-1])) if host[:1] == "[" else bool(_HOST_NAME.fullmatch(host))
        )
    except ValueError:
        return False


def socket_address(value: object, location: Location) -> tuple[str, int] | None:
    """Check for `HOST:PORT`, where the host is an IP address."""
    host, _, port_text = str(value).rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        ip_address = ipaddress.ip_address(host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host)
        port_number = int(port_text) if port_text.isdecimal() and len(port_text) < 6 else 65_536
        if port_number > 65_535 or (ip_address.version == 6) is not (host[:1] == "["):
            raise ValueError
    except ValueError:
        location.add_fault(
            short_repr(value), '"ADDRESS:PORT", an IP address (IPv6 in brackets) and 0 to 65535'
        )
        return None
    return str(ip_address), port_number


# --- files ---------------------------------------------------------------------------------------------


def read_bounded(path: Path, location: Location, allowed: str, max_bytes: int) -> bytes | None:
    """The first `max_bytes` bytes of a regular file; None after adding a fault."""
    try:
        # Opening a named pipe would wait for a writer and block the node.
        if path.exists() and not path.is_file():
            location.add_fault(f"{short_repr(str(path))}, which is no plain file", allowed)
            return None
        with path.open("rb") as file:
            return file.read(max_bytes)
    except (OSError, ValueError) as err:
        reason = getattr(err, "strerror", None) or str(err)
        location.add_fault(f"{short_repr(str(path))}: {reason}", allowed)
        return None


def readable_file(value: object, location: Location) -> Path | None:
    """Check for a readable file; a relative path is relative to the folder of the operators' file."""
    allowed = "the path of a file that can be read"
    if not isinstance(value, str) or not value:
        location.add_fault(describe_type(value) if value else short_repr(value), allowed)
        return None
    path = location.folder / value
    return None if read_bounded(path, location, allowed, 1) is None else path


def socket_path(value: object, location: Location) -> Path | None:
    """Check for a path at which a Unix socket can be created."""
    allowed = f"an absolute path of at most {MAX_SOCKET_PATH_BYTES} bytes in a folder that is there"
    if not isinstance(value, str) or not value.isprintable():
        location.add_fault(short_repr(value), allowed)
        return None
    path, path_bytes = Path(value), len(os.fsencode(value))
    if not path.is_absolute() or path.name in ("", "..") or path_bytes > MAX_SOCKET_PATH_BYTES:
        location.add_fault(f"{short_repr(value)} ({path_bytes} bytes)", allowed)
        return None
    if not path.parent.is_dir():
        location.add_fault(f"{short_repr(value)}, whose folder is not there", allowed)
        return None
    return path


def check_certificates(ca: Path | None, cert: Path | None, key: Path | None, location: Location) -> None:
    """Load the certificates, so that an invalid file is reported now rather than at the first connection."""
    import ssl

    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    try:
        if ca is not None:
            context.load_verify_locations(ca)
    except (OSError, ValueError) as err:
        location.key("ca").add_fault(
            f"a file that cannot be loaded ({_error_reason(err)})", "certificates in PEM form"
        )
    try:
        if cert is not None and key is not None:
            # Without a password, OpenSSL would prompt on the terminal.
            context.load_cert_chain(cert, key, password=lambda: b"")
    except (OSError, ValueError) as err:
        allowed = "a certificate in PEM form and its key, which needs no password"
        location.key("cert").add_fault(f"files that cannot be loaded ({_error_reason(err)})", allowed)


def files_digest(paths: Iterable[Path | None]) -> str:
    """A hexadecimal digest of the files' contents; empty if there is no file."""
    import hashlib  # loads three modules, which only a file with certificates needs

    digest, has_files = hashlib.sha256(), False
    for path in paths:
        if path is not None:
            has_files = True
            with contextlib.suppress(OSError), path.open("rb") as file:
                digest.update(hashlib.file_digest(file, "sha256").digest())
    return digest.hexdigest() if has_files else ""


def _error_reason(err: Exception) -> str:
    return getattr(err, "reason", None) or getattr(err, "strerror", None) or str(err) or type(err).__name__


def read_password(path: Path, location: Location) -> str:
    """The first line of a password file; a fault never shows its content."""
    allowed = f"a file of at most {MAX_SECRET_BYTES} bytes in UTF-8 whose first line is the password"
    content = read_bounded(path, location, allowed, MAX_SECRET_BYTES + 1)
    if content is None:
        return ""
    if len(content) > MAX_SECRET_BYTES:
        location.add_fault("a longer file", allowed)
        return ""
    try:
        password = content.split(b"\n", 1)[0].removesuffix(b"\r").decode("utf-8")
    except UnicodeDecodeError:
        location.add_fault("a first line that is not UTF-8", allowed)
        return ""
    if not password:
        location.add_fault("an empty first line", allowed)
    return password


# --- the installation ---------------------------------------------------------------------------------


def require_package(name: str, extra: str, location: Location) -> None:
    """Add a fault, with the extra to install, if an optional package is missing."""
    if importlib.util.find_spec(name) is None:
        location.add_fault(f"no package {name}", f"the install `snowloom-balancer[{extra}]`")
