"""Checks of values, of files and of what must be installed, for any table.

A check turns a value as TOML gives it into a field's value, or tells `At` what is wrong and returns None.
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

MAX_SECRET_BYTES = 4 * 1024  # bytes of a password file
MAX_SOCKET_PATH_BYTES = 100  # bytes of a Unix socket's path: the kernel takes 107

T = TypeVar("T")
E = TypeVar("E")

_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,251}[A-Za-z0-9])?")

Check = Callable[[object, Location], T | None]
"""Turns a value as TOML gives it into a field's value; None after it has told `At` what is wrong."""


# --- values --------------------------------------------------------------------------------------------


def kind_of(value: object) -> str:
    """What a value is, without what it says."""
    kinds: dict[type, str] = {bool: "true or false", int: "a number", float: "a number", str: "text"}
    return kinds.get(type(value), "a table" if isinstance(value, dict) else "an array or a date")


def whole(low: int) -> Check[int]:
    """A whole number from `low` on."""

    def check(value: object, at: Location) -> int | None:
        if isinstance(value, bool) or not isinstance(value, int) or value < low or value.bit_length() > 63:
            at.fault(short_repr(value), f"a whole number from {low} on, of 63 bits at most")
            return None
        return value

    return check


def seconds(low: int, high: int) -> Check[int]:
    """A whole number of seconds in these bounds."""

    def check(value: object, at: Location) -> int | None:
        if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
            at.fault(short_repr(value), f"a whole number of seconds from {low} to {high}")
            return None
        return value

    return check


def choice(*among: str) -> Check[str]:
    """One of these words."""

    def check(value: object, at: Location) -> str | None:
        if not isinstance(value, str) or value not in among:
            at.fault(short_repr(value), " or ".join(f'"{word}"' for word in among))
            return None
        return value

    return check


def text(most: int, end: str = "") -> Check[str]:
    """Text of 1 to `most` printable characters that ends in `end`."""
    allowed = f"text of 1 to {most} printable characters" + (f' that ends in "{end}"' if end else "")

    def check(value: object, at: Location) -> str | None:
        fits = isinstance(value, str) and 0 < len(value) <= most and value.isprintable()
        if not fits or not str(value).endswith(end):
            at.fault(short_repr(value), allowed)
            return None
        return str(value)

    return check


def array(each: Check[E], most: int) -> Check[tuple[E, ...]]:
    """An array of 1 to `most` different items, each of which passes `each`."""

    def check(value: object, at: Location) -> tuple[E, ...] | None:
        if not isinstance(value, list) or not 0 < len(value) <= most:
            found = f"an array of {len(value)}" if isinstance(value, list) else short_repr(value)
            at.fault(found, f"an array of 1 to {most}")
            return None
        out: list[E] = []
        for index, raw in enumerate(value):
            item = each(raw, at.item(index))
            if item is None:
                continue
            if item in out:
                at.item(index).fault(f"{short_repr(raw)} a second time", "each one once")
            out.append(item)
        return tuple(out) if len(out) == len(value) else None

    return check


def url(value: object, at: Location) -> str | None:
    """`http://HOST:PORT` or `https://HOST:PORT`, in its shortest form. A password in it is never shown."""
    allowed = "http://HOST:PORT or https://HOST:PORT"
    if not isinstance(value, str):
        at.fault(short_repr(value), allowed)
        return None
    try:
        parts = urlsplit(value)
        host, port = parts.netloc.rpartition(":")[0], parts.port
    except ValueError:
        host, port, parts = "", None, urlsplit("")
    if "@" in value:
        at.fault("a URL with a user or a password in it", f"{allowed}; see user and password_file")
        return None
    rest = parts.path.removeprefix("/") or parts.query or parts.fragment
    if parts.scheme not in ("http", "https") or not port or not _host(host) or rest:
        at.fault(short_repr(value), allowed)
        return None
    return f"{parts.scheme}://{host.lower()}:{port}"


def _host(host: str) -> bool:
    try:
        return bool(ipaddress.IPv6Address(host[1:-1])) if host[:1] == "[" else bool(_NAME.fullmatch(host))
    except ValueError:
        return False


def address(value: object, at: Location) -> tuple[str, int] | None:
    """`HOST:PORT` to listen on, the host an IP address."""
    host, _, port = str(value).rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        found = ipaddress.ip_address(host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host)
        number = int(port) if port.isdecimal() and len(port) < 6 else 65_536
        if number > 65_535 or (found.version == 6) is not (host[:1] == "["):
            raise ValueError
    except ValueError:
        at.fault(short_repr(value), '"ADDRESS:PORT", an IP address (IPv6 in brackets) and 0 to 65535')
        return None
    return str(found), number


# --- files ---------------------------------------------------------------------------------------------


def read_bounded(path: Path, at: Location, allowed: str, most: int) -> bytes | None:
    """The first `most` bytes of a plain file; None after a fault was noted."""
    try:
        # Guards against a pipe, whose open would wait for a writer and hold up the node.
        if path.exists() and not path.is_file():
            at.fault(f"{short_repr(str(path))}, which is no plain file", allowed)
            return None
        with path.open("rb") as file:
            return file.read(most)
    except (OSError, ValueError) as err:
        reason = getattr(err, "strerror", None) or str(err)
        at.fault(f"{short_repr(str(path))}: {reason}", allowed)
        return None


def readable(value: object, at: Location) -> Path | None:
    """A file that can be read; a relative path is one from the folder of the operators' file."""
    allowed = "the path of a file that can be read"
    if not isinstance(value, str) or not value:
        at.fault(kind_of(value) if value else short_repr(value), allowed)
        return None
    path = at.folder / value
    return None if read_bounded(path, at, allowed, 1) is None else path


def socket_path(value: object, at: Location) -> Path | None:
    """Where a Unix socket can be made."""
    allowed = f"an absolute path of at most {MAX_SOCKET_PATH_BYTES} bytes in a folder that is there"
    if not isinstance(value, str) or not value.isprintable():
        at.fault(short_repr(value), allowed)
        return None
    path, size = Path(value), len(os.fsencode(value))
    if not path.is_absolute() or path.name in ("", "..") or size > MAX_SOCKET_PATH_BYTES:
        at.fault(f"{short_repr(value)} ({size} bytes)", allowed)
        return None
    if not path.parent.is_dir():
        at.fault(f"{short_repr(value)}, whose folder is not there", allowed)
        return None
    return path


def certificates(ca: Path | None, cert: Path | None, key: Path | None, at: Location) -> None:
    """Guards against a file that turns out to be no certificate only when it is needed."""
    import ssl

    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    try:
        if ca is not None:
            context.load_verify_locations(ca)
    except (OSError, ValueError) as err:
        at.key("ca").fault(f"a file that cannot be loaded ({_reason(err)})", "certificates in PEM form")
    try:
        if cert is not None and key is not None:
            context.load_cert_chain(cert, key, password=lambda: b"")  # never ask the terminal for one
    except (OSError, ValueError) as err:
        allowed = "a certificate in PEM form and its key, which needs no password"
        at.key("cert").fault(f"files that cannot be loaded ({_reason(err)})", allowed)


def files_digest(paths: Iterable[Path | None]) -> str:
    """What is in the files, as a text of no use to anybody else; empty without a file."""
    import hashlib  # three packages of the standard library, for a file that has certificates alone

    out, found = hashlib.sha256(), False
    for path in paths:
        if path is not None:
            found = True
            with contextlib.suppress(OSError), path.open("rb") as file:
                out.update(hashlib.file_digest(file, "sha256").digest())
    return out.hexdigest() if found else ""


def _reason(err: Exception) -> str:
    return getattr(err, "reason", None) or getattr(err, "strerror", None) or str(err) or type(err).__name__


def secret(path: Path, at: Location) -> str:
    """The first line of a password file; a fault never shows what is in it."""
    allowed = f"a file of at most {MAX_SECRET_BYTES} bytes in UTF-8 whose first line is the password"
    told = read_bounded(path, at, allowed, MAX_SECRET_BYTES + 1)
    if told is None:
        return ""
    if len(told) > MAX_SECRET_BYTES:
        at.fault("a longer file", allowed)
        return ""
    try:
        password = told.split(b"\n", 1)[0].removesuffix(b"\r").decode("utf-8")
    except UnicodeDecodeError:
        at.fault("a first line that is not UTF-8", allowed)
        return ""
    if not password:
        at.fault("an empty first line", allowed)
    return password


# --- the installation ---------------------------------------------------------------------------------


def package(name: str, extra: str, at: Location) -> None:
    """A package that a bare install leaves out, and the install that has it."""
    if importlib.util.find_spec(name) is None:
        at.fault(f"no package {name}", f"the install `snowloom-balancer[{extra}]`")
