"""A table of the file as a frozen dataclass whose fields carry their checks: read, shown, compared."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Set
from dataclasses import fields
from pathlib import Path
from typing import Annotated, Any, ClassVar, TypeVar, cast, get_args, get_origin, get_type_hints

from balancer.operator_settings.checks import Check
from balancer.operator_settings.faults import Location, short_repr

K = TypeVar("K", bound="Table")


class Table:
    """A table of the file: a frozen dataclass. Its fields say all that `read_table` needs to know.

    - `name: Annotated[T, CHECK] = DEFAULT` is a key; its check holds for what the file says and for the
      default. Where the default is None the key may be left out, and the check is not asked then.
    - `name: KIND | None = None` is a table within that is off where it is left out.
    - `name: KIND = field(default_factory=KIND)` is a table within that only holds others.
    - Any other field follows from these; `together` sets it.
    """

    __slots__ = ()
    needs: ClassVar[tuple[str, ...]] = ()
    """Tables beside this one without which it makes no sense."""

    @classmethod
    def validate(cls, values: dict[str, Any], given: Set[str], at: Location) -> None:
        """Check what hangs together, and add what follows from it.

        `values` are those that make sense alone, `given` are the keys that the file has.
        """

    def summary(self) -> str:
        """What is on by this table, in plain words; empty where it only holds other tables."""
        return ""


def read_table(kind: type[K], raw: object, at: Location) -> K | None:
    """The checked table; what makes no sense is told to `at`, and its fields are left as they are."""
    if not isinstance(raw, Mapping):
        at.fault(short_repr(raw), "a table")
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
        if name in raw and (found := read_table(inner, raw[name], at.key(name))) is not None:
            values[name] = found
        for other in inner.needs:
            if name in raw and other not in raw:
                at.key(name).fault(f"no [{other}] beside it", f"both, or [{other}] alone")
    kind.validate(values, raw.keys(), at)
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


def _unknown(name: str, known: list[str], at: Location) -> None:
    """A key that is not known. Its value is not shown: it may be a password in the wrong place."""
    if at.faults.full():  # guards against a file of thousands of them: the nearest name is costly to find
        at.key(name).fault("", "")
        return
    import difflib

    near = difflib.get_close_matches(name[:100], known, 1, 0.0)[0]
    at.key(name).fault("an unknown key", f'{", ".join(known)} (the nearest is "{near}")')


# --- what is on, and what changed ----------------------------------------------------------------------


def tables_of(found: Table, path: str) -> Iterator[tuple[str, Table]]:
    """A table and all tables within it, each with its path."""
    yield path, found
    for spec in fields(cast(Any, found)):
        inner = getattr(found, spec.name)
        if isinstance(inner, Table):
            yield from tables_of(inner, f"{path}.{spec.name}" if path else spec.name)


def changes(old: Table, new: Table) -> list[str]:
    """What differs, a line a key or table; a secret is only said to have changed."""
    return list(_changes(old, new, ""))


def _changes(old: Table, new: Table, path: str) -> Iterator[str]:
    for spec in fields(cast(Any, old)):
        was, now = getattr(old, spec.name), getattr(new, spec.name)
        where = f"{path}.{spec.name}" if path else spec.name
        if isinstance(was, Table) and isinstance(now, Table):
            yield from _changes(was, now, where)
        elif isinstance(was, Table) or isinstance(now, Table):
            yield f"{where} is {'off' if now is None else 'on: ' + now.summary()}"
        elif was != now:
            yield f"{where} changed" if not spec.repr else f"{where} is {_plain(now)}, was {_plain(was)}"


def _plain(value: object) -> str:
    return "not set" if value is None else str(value) if isinstance(value, Path) else short_repr(value)
