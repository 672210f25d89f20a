"""The operators' own settings: a TOML file beside the platform's configuration, checked.

Each table of the file is a frozen dataclass whose fields carry their checks, so a new table is one more
dataclass and one line where it hangs. `load` names ALL faults of a file at once, each with its key's path,
what was found and what is allowed. A table that is there is on; one that is not costs nothing.

- `Operators`: the file. `Membership`, `EtcdSettings`, `ControlSettings`, `TimelineSettings`,
  `MetricsSettings`, `StateSettings`: its tables.
- `load`, `parse`: a file, or its tables as TOML gives them, to `Operators`; raise `OperatorsError`.
- `changes`: what differs between two readings, for the log.

`deploy/dillport.toml` is an example that explains each key. Bounds: 256 KiB a file, 100 faults named.
"""

from __future__ import annotations

import contextlib
import difflib
import hashlib
import importlib.util
import ipaddress
import os
import re
import reprlib
import tomllib
from collections.abc import Callable, Iterable, Iterator, Mapping, Set
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Annotated, Any, TypeVar, cast, get_args, get_origin, get_type_hints
from urllib.parse import urlsplit

MAX_FILE = 256 * 1024  # bytes of the operators' file
MAX_SECRET = 4 * 1024  # bytes of a password file
MAX_FAULTS = 100  # named; the rest are counted
MAX_SOCKET = 100  # bytes of a Unix socket's path: the kernel takes 107

T = TypeVar("T")
E = TypeVar("E")
K = TypeVar("K", bound="Table")

_BARE = re.compile(r"[A-Za-z0-9_-]{1,60}")
_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,251}[A-Za-z0-9])?")
_SHORT = reprlib.Repr()
_SHORT.maxstring = _SHORT.maxother = 80
_SHORT.maxlevel, _SHORT.maxdict, _SHORT.maxlist, _SHORT.maxlong = 2, 3, 3, 40


@dataclass(slots=True, frozen=True)
class Fault:
    """One thing that is wrong: the key's path, what was found there, what is allowed there."""

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = f"{self.path}: " if self.path else ""
        return f"{where}found {self.found}; allowed: {self.allowed}" if self.allowed else where + self.found


class OperatorsError(ValueError):
    """The operators' file cannot be used. Its text names every fault, one a line."""

    def __init__(self, faults: tuple[Fault, ...], left_out: int = 0) -> None:
        self.faults, self.left_out = faults, left_out
        lines = [str(fault) for fault in faults]
        super().__init__("\n".join([*lines, f"and {left_out} more"] if left_out else lines))


class _Faults:
    """Collects faults, and remembers no more of them than are told."""

    def __init__(self) -> None:
        self.kept: list[Fault] = []
        self.left_out = 0

    def full(self) -> bool:
        return len(self.kept) >= MAX_FAULTS

    def add(self, path: str, found: str, allowed: str) -> None:
        if self.full():
            self.left_out += 1
        else:
            self.kept.append(Fault(path, found, allowed))


class At:
    """One place in the file: where a check says what is wrong with the value there."""

    __slots__ = ("faults", "folder", "path")

    def __init__(self, path: str, folder: Path, faults: _Faults) -> None:
        self.path, self.folder, self.faults = path, folder, faults

    def key(self, name: str) -> At:
        """The place of a key in this table."""
        bare = name if _BARE.fullmatch(name) else _SHORT.repr(name)
        return At(f"{self.path}.{bare}" if self.path else bare, self.folder, self.faults)

    def item(self, index: int) -> At:
        """The place of an item in this array."""
        return At(f"{self.path}[{index}]", self.folder, self.faults)

    def fault(self, found: str, allowed: str) -> None:
        """Note that what is here makes no sense."""
        self.faults.add(self.path, found, allowed)


Check = Callable[[object, At], T | None]
"""Turns a value as TOML gives it into a field's value; None after it has told `At` what is wrong."""


# --- checks of values ---------------------------------------------------------------------------------


def _shown(value: object) -> str:
    """A value for the eyes, bounded in length and depth."""
    if isinstance(value, int) and value.bit_length() > 128:  # guards against numbers too long to print
        return f"a number of {value.bit_length()} bits"
    return _SHORT.repr(value)


def _kind(value: object) -> str:
    """What a value is, without what it says."""
    kinds: dict[type, str] = {bool: "true or false", int: "a number", float: "a number", str: "text"}
    return kinds.get(type(value), "a table" if isinstance(value, dict) else "an array or a date")


def whole(low: int) -> Check[int]:
    """A whole number from `low` on."""

    def check(value: object, at: At) -> int | None:
        if isinstance(value, bool) or not isinstance(value, int) or value < low or value.bit_length() > 63:
            at.fault(_shown(value), f"a whole number from {low} on, of 63 bits at most")
            return None
        return value

    return check


def choice(*among: str) -> Check[str]:
    """One of these words."""

    def check(value: object, at: At) -> str | None:
        if not isinstance(value, str) or value not in among:
            at.fault(_shown(value), " or ".join(f'"{word}"' for word in among))
            return None
        return value

    return check


def text(most: int, end: str = "") -> Check[str]:
    """Text of 1 to `most` printable characters that ends in `end`."""
    allowed = f"text of 1 to {most} printable characters" + (f' that ends in "{end}"' if end else "")

    def check(value: object, at: At) -> str | None:
        fits = isinstance(value, str) and 0 < len(value) <= most and value.isprintable()
        if not fits or not str(value).endswith(end):
            at.fault(_shown(value), allowed)
            return None
        return str(value)

    return check


def array(each: Check[E], most: int) -> Check[tuple[E, ...]]:
    """An array of 1 to `most` different items, each of which passes `each`."""

    def check(value: object, at: At) -> tuple[E, ...] | None:
        if not isinstance(value, list) or not 0 < len(value) <= most:
            found = f"an array of {len(value)}" if isinstance(value, list) else _shown(value)
            at.fault(found, f"an array of 1 to {most}")
            return None
        out: list[E] = []
        for index, raw in enumerate(value):
            item = each(raw, at.item(index))
            if item is None:
                continue
            if item in out:
                at.item(index).fault(f"{_shown(raw)} a second time", "each one once")
            out.append(item)
        return tuple(out) if len(out) == len(value) else None

    return check


def url(value: object, at: At) -> str | None:
    """`http://HOST:PORT` or `https://HOST:PORT`, in its shortest form. A password in it is never shown."""
    allowed = "http://HOST:PORT or https://HOST:PORT"
    if not isinstance(value, str):
        at.fault(_shown(value), allowed)
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
        at.fault(_shown(value), allowed)
        return None
    return f"{parts.scheme}://{host.lower()}:{port}"


def _host(host: str) -> bool:
    try:
        return bool(ipaddress.IPv6Address(host[1:-1])) if host[:1] == "[" else bool(_NAME.fullmatch(host))
    except ValueError:
        return False


def _opened(path: Path, at: At, allowed: str, most: int) -> bytes | None:
    """The first `most` bytes of a plain file; None after a fault was noted."""
    try:
        # Guards against a pipe, whose open would wait for a writer and hold up the node.
        if path.exists() and not path.is_file():
            at.fault(f"{_shown(str(path))}, which is no plain file", allowed)
            return None
        with path.open("rb") as file:
            return file.read(most)
    except (OSError, ValueError) as err:
        reason = getattr(err, "strerror", None) or str(err)
        at.fault(f"{_shown(str(path))}: {reason}", allowed)
        return None


def readable(value: object, at: At) -> Path | None:
    """A file that can be read; a relative path is one from the folder of the operators' file."""
    allowed = "the path of a file that can be read"
    if not isinstance(value, str) or not value:
        at.fault(_kind(value) if value else _shown(value), allowed)
        return None
    path = at.folder / value
    return None if _opened(path, at, allowed, 1) is None else path


def socket_path(value: object, at: At) -> Path | None:
    """Where a Unix socket can be made."""
    allowed = f"an absolute path of at most {MAX_SOCKET} bytes in a folder that is there"
    if not isinstance(value, str) or not value.isprintable():
        at.fault(_shown(value), allowed)
        return None
    path, size = Path(value), len(os.fsencode(value))
    if not path.is_absolute() or path.name in ("", "..") or size > MAX_SOCKET:
        at.fault(f"{_shown(value)} ({size} bytes)", allowed)
        return None
    if not path.parent.is_dir():
        at.fault(f"{_shown(value)}, whose folder is not there", allowed)
        return None
    return path


# --- tables as dataclasses ----------------------------------------------------------------------------


class Table:
    """A table of the file: a frozen dataclass. Its fields say all that `_read` needs to know.

    - `name: Annotated[T, CHECK] = DEFAULT` is a key; its check holds for what the file says and for the
      default. Where the default is None the key may be left out, and the check is not asked then.
    - `name: KIND | None = None` is a table within that is off where it is left out.
    - `name: KIND = field(default_factory=KIND)` is a table within that only holds others.
    - Any other field follows from these; `together` sets it.
    """

    __slots__ = ()

    @classmethod
    def together(cls, values: dict[str, Any], given: Set[str], at: At) -> None:
        """Check what hangs together, and add what follows from it.

        `values` are those that make sense alone, `given` are the keys that the file has.
        """

    def says(self) -> str:
        """What is on by this table, in plain words; empty where it only holds other tables."""
        return ""


def _read(kind: type[K], raw: object, at: At) -> K | None:
    """The checked table; what makes no sense is told to `at`, and its fields are left as they are."""
    if not isinstance(raw, Mapping):
        at.fault(_shown(raw), "a table")
        return None
    checks, tables, defaults = _declared(kind)
    for name in raw:
        if name not in checks and name not in tables:
            _unknown(name, [*checks, *tables], at)
    values: dict[str, Any] = {}
    for name, check in checks.items():
        if name in raw or defaults[name] is not None:
            told = raw[name] if name in raw else _as_toml(defaults[name])
            if (value := check(told, at.key(name))) is not None:
                values[name] = value
    for name, inner in tables.items():
        if name in raw and (found := _read(inner, raw[name], at.key(name))) is not None:
            values[name] = found
    kind.together(values, raw.keys(), at)
    return kind(**values)


def _declared(kind: type[Table]) -> tuple[dict[str, Check[Any]], dict[str, type[Table]], dict[str, object]]:
    """What a table's fields say: the checks of its keys, the tables within, the defaults."""
    checks: dict[str, Check[Any]] = {}
    tables: dict[str, type[Table]] = {}
    for name, hint in get_type_hints(kind, include_extras=True).items():
        if get_origin(hint) is Annotated:
            checks[name] = hint.__metadata__[0]
        for part in (hint, *get_args(hint)):
            if isinstance(part, type) and issubclass(part, Table):
                tables[name] = part
    return checks, tables, {spec.name: spec.default for spec in fields(cast(Any, kind))}


def _as_toml(value: object) -> object:
    if isinstance(value, tuple) and len(value) == 2 and isinstance(value[1], int):  # an address
        return f"[{value[0]}]:{value[1]}" if ":" in value[0] else f"{value[0]}:{value[1]}"
    return list(value) if isinstance(value, tuple) else str(value) if isinstance(value, Path) else value


def _unknown(name: str, known: list[str], at: At) -> None:
    """A key that is not known. Its value is not shown: it may be a password in the wrong place."""
    if at.faults.full():  # guards against a file of thousands of them: the nearest name is costly to find
        at.key(name).fault("", "")
        return
    near = difflib.get_close_matches(name[:100], known, 1, 0.0)[0]
    at.key(name).fault("an unknown key", f'{", ".join(known)} (the nearest is "{near}")')


# --- the tables ---------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True, kw_only=True)
class EtcdSettings(Table):
    """`[membership.etcd]`: app servers learned from etcd v3. `password` is the first line of its file.

    `epoch` is raised by the operators once etcd was restored from a backup; `role` says whether etcd's word
    may add servers, remove them, or both.
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
    password: str = field(default="", repr=False)
    certificates: str = field(default="", repr=False)  # a digest: they are renewed in their place

    @classmethod
    def together(cls, values: dict[str, Any], given: Set[str], at: At) -> None:
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
            _certificates(values.get("ca"), values.get("cert"), values.get("key"), at)
        values["certificates"] = _digest(values.get(name) for name in ("ca", "cert", "key"))
        if "password_file" in values:
            values["password"] = _secret(values["password_file"], at.key("password_file"))

    def says(self) -> str:
        """Which etcd, what of it, what its word may do."""
        does = {"full": "add and remove servers", "add": "only add servers", "remove": "only remove servers"}
        login = f", logged in as {self.user}" if self.user else ""
        clear = " WITHOUT TLS, so the password crosses the network in the clear" if (
            login and self.endpoints[0].startswith("http:")
        ) else ""  # fmt: skip
        return (
            f"etcd at {', '.join(self.endpoints)}{login}{clear}; keys under {self.prefix} in the form "
            f"{self.format}; it may {does[self.role]}; epoch {self.epoch}"
        )


def _certificates(ca: Path | None, cert: Path | None, key: Path | None, at: At) -> None:
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


def _digest(paths: Iterable[Path | None]) -> str:
    """What is in the files, as a text of no use to anybody else; empty without a file."""
    out, found = hashlib.sha256(), False
    for path in paths:
        if path is not None:
            found = True
            with contextlib.suppress(OSError), path.open("rb") as file:
                out.update(hashlib.file_digest(file, "sha256").digest())
    return out.hexdigest() if found else ""


def _reason(err: Exception) -> str:
    return getattr(err, "reason", None) or getattr(err, "strerror", None) or str(err) or type(err).__name__


def _secret(path: Path, at: At) -> str:
    """The first line of a password file; a fault never shows what is in it."""
    allowed = f"a file of at most {MAX_SECRET} bytes in UTF-8 whose first line is the password"
    told = _opened(path, at, allowed, MAX_SECRET + 1)
    if told is None:
        return ""
    if len(told) > MAX_SECRET:
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


@dataclass(slots=True, frozen=True, kw_only=True)
class Membership(Table):
    """`[membership]`: where app servers are learned beside the platform's list."""

    etcd: EtcdSettings | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class ControlSettings(Table):
    """`[control]`: the Unix socket on which a running node answers `dillport members` and the like."""

    socket: Annotated[Path, socket_path] = Path("/run/dillport/control.sock")

    def says(self) -> str:
        """Where it listens."""
        return f"a control socket at {self.socket}"


@dataclass(slots=True, frozen=True, kw_only=True)
class TimelineSettings(Table):
    """`[timeline]`: what each server did and what was decided about it, in so much memory."""

    memory_mb: Annotated[int, whole(2)] = 16

    @classmethod
    def together(cls, values: dict[str, Any], given: Set[str], at: At) -> None:
        """It needs `msgspec`, which a bare install leaves out."""
        if importlib.util.find_spec("msgspec") is None:
            at.fault("no package msgspec", "the install `dillport[timeline]`")
        if values.get("memory_mb", 0) > 4_096:
            at.key("memory_mb").fault(str(values["memory_mb"]), "a whole number from 2 to 4096")

    def says(self) -> str:
        """What it may hold."""
        return f"the time line of each server in {self.memory_mb} MB; see dillport timeline, events and why"


def address(value: object, at: At) -> tuple[str, int] | None:
    """`HOST:PORT` to listen on, the host an IP address."""
    host, _, port = str(value).rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        found = ipaddress.ip_address(host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host)
        number = int(port) if port.isdecimal() and len(port) < 6 else 65_536
        if number > 65_535 or (found.version == 6) is not (host[:1] == "["):
            raise ValueError
    except ValueError:
        at.fault(_shown(value), '"ADDRESS:PORT", an IP address (IPv6 in brackets) and 0 to 65535')
        return None
    return str(found), number


@dataclass(slots=True, frozen=True, kw_only=True)
class MetricsSettings(Table):
    """`[metrics]`: OpenMetrics of the time line over HTTP, for whoever may connect."""

    listen: Annotated[tuple[str, int], address] = ("127.0.0.1", 9464)

    @classmethod
    def together(cls, values: dict[str, Any], given: Set[str], at: At) -> None:
        """It needs `prometheus_client`, which a bare install leaves out."""
        if importlib.util.find_spec("prometheus_client") is None:
            at.fault("no package prometheus_client", "the install `dillport[metrics]`")

    def says(self) -> str:
        """Where it listens."""
        host, port = self.listen
        at = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        local = ipaddress.ip_address(host).is_loopback
        known = "" if local else "; ANYBODY who reaches that address may read them"
        return f"metrics at http://{at}/metrics{known}"


def own_folder(value: object, at: At) -> Path | None:
    """A folder that may be written to; a relative path is one from the folder of the operators' file."""
    allowed = "the path of a folder that is there and may be written to"
    if not isinstance(value, str) or not value or not value.isprintable():
        at.fault(_shown(value), allowed)
        return None
    path = at.folder / value
    try:
        there = path.is_dir()
    except (OSError, ValueError):  # a name too long
        there = False
    if not there or not os.access(path, os.R_OK | os.W_OK | os.X_OK):
        why = "may not be written to" if there else "is no folder"
        at.fault(f"{_shown(str(path))}, which {why}", allowed)
        return None
    return path


def seconds(low: int, high: int) -> Check[int]:
    """A whole number of seconds in these bounds."""

    def check(value: object, at: At) -> int | None:
        if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
            at.fault(_shown(value), f"a whole number of seconds from {low} to {high}")
            return None
        return value

    return check


@dataclass(slots=True, frozen=True, kw_only=True)
class StateSettings(Table):
    """`[state]`: what the node keeps over a restart. `max_age` and `every` are in seconds."""

    directory: Annotated[Path | None, own_folder] = None
    max_age: Annotated[int, seconds(60, 31_536_000)] = 86_400
    every: Annotated[int, seconds(1, 3_600)] = 10

    @classmethod
    def together(cls, values: dict[str, Any], given: Set[str], at: At) -> None:
        """It needs a directory, and three packages that a bare install leaves out."""
        if "directory" not in given:
            at.key("directory").fault("nothing", "the path of a folder that is there and may be written to")
        if values.get("every", 0) > values.get("max_age", values.get("every", 0)):
            at.key("every").fault(f"{values['every']} s, over max_age", "max_age at most")
        for package in ("msgspec", "apsw", "xxhash"):
            if importlib.util.find_spec(package) is None:
                at.fault(f"no package {package}", "the install `dillport[state]`")

    def says(self) -> str:
        """Where, how old, how often."""
        return f"memory in {self.directory}, believed for {self.max_age} s, figures each {self.every} s"


@dataclass(slots=True, frozen=True, kw_only=True)
class Operators(Table):
    """The operators' file. Everything is off where it is empty or there is none."""

    membership: Membership = field(default_factory=Membership)
    control: ControlSettings | None = None
    timeline: TimelineSettings | None = None
    metrics: MetricsSettings | None = None
    state: StateSettings | None = None

    @classmethod
    def together(cls, values: dict[str, Any], given: Set[str], at: At) -> None:
        """Metrics are read out of the time line."""
        if "metrics" in given and "timeline" not in given:
            at.key("metrics").fault("no [timeline] beside it", "both, or [timeline] alone")

    def on(self) -> list[str]:
        """What is on, a line a table in plain words."""
        return [f"{path}: {words}" for path, found in _tables(self, "") if (words := found.says())]


# --- reading ------------------------------------------------------------------------------------------


def parse(raw: Mapping[str, object], folder: Path) -> Operators:
    """The settings out of the tables of a file that lies in `folder`; raises OperatorsError."""
    faults = _Faults()
    found = _read(Operators, raw, At("", folder, faults))
    if faults.kept or found is None:
        raise OperatorsError(tuple(faults.kept), faults.left_out)
    return found


def load(path: Path) -> Operators:
    """The settings in a file; raises OperatorsError."""
    return parse(_toml(path), path.absolute().parent)


def _toml(path: Path) -> dict[str, object]:
    faults = _Faults()
    told = _opened(path, At("", path, faults), "", MAX_FILE + 1)
    if told is None:
        raise OperatorsError(tuple(faults.kept))
    if len(told) > MAX_FILE:
        raise _spoiled(f"longer than {MAX_FILE // 1024} KiB")
    try:
        content = told.decode("utf-8")
    except UnicodeDecodeError as err:
        raise _spoiled(f"line {_line(told, err.start)}: not UTF-8") from None
    try:
        return tomllib.loads(content)
    except tomllib.TOMLDecodeError as err:
        place = re.search(r" \(at line (\d+), column (\d+)\)$", str(err))
        line = int(place[1]) if place else _line(told, len(told.rstrip()))
        raise _spoiled(f"line {line}: not TOML: {err}") from None
    except ValueError:  # a number too long to read
        digits = re.search(rb"[0-9][0-9_]{4000}", told)
        raise _spoiled(f"line {_line(told, digits.start() if digits else 0)}: a number too long") from None
    except RecursionError:
        raise _spoiled(f"line {_deepest(content)}: arrays or tables nested too deep") from None


def _spoiled(what: str) -> OperatorsError:
    return OperatorsError((Fault("", what, ""),))


def _line(told: bytes, offset: int) -> int:
    return told.count(b"\n", 0, offset) + 1


def _deepest(content: str) -> int:
    """The line by which the most brackets are open."""
    depth, deepest, out = 0, 0, 1
    for number, line in enumerate(content.split("\n"), 1):
        depth += sum(line.count(c) for c in "[{") - sum(line.count(c) for c in "]}")
        if depth > deepest:
            deepest, out = depth, number
    return out


# --- what is on, and what changed ---------------------------------------------------------------------


def _tables(found: Table, path: str) -> Iterator[tuple[str, Table]]:
    yield path, found
    for spec in fields(cast(Any, found)):
        inner = getattr(found, spec.name)
        if isinstance(inner, Table):
            yield from _tables(inner, f"{path}.{spec.name}" if path else spec.name)


def changes(old: Operators, new: Operators) -> list[str]:
    """What differs, a line a key or table; a secret is only said to have changed."""
    return list(_changes(old, new, ""))


def _changes(old: Table, new: Table, path: str) -> Iterator[str]:
    for spec in fields(cast(Any, old)):
        was, now = getattr(old, spec.name), getattr(new, spec.name)
        where = f"{path}.{spec.name}" if path else spec.name
        if isinstance(was, Table) and isinstance(now, Table):
            yield from _changes(was, now, where)
        elif isinstance(was, Table) or isinstance(now, Table):
            yield f"{where} is {'off' if now is None else 'on: ' + now.says()}"
        elif was != now:
            yield f"{where} changed" if not spec.repr else f"{where} is {_plain(now)}, was {_plain(was)}"


def _plain(value: object) -> str:
    return "not set" if value is None else str(value) if isinstance(value, Path) else _shown(value)
