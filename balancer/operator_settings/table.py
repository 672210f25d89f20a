"""Tables of the file as frozen dataclasses with checks in their annotations: parsing and comparison."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Set
from dataclasses import fields
from pathlib import Path
from typing import Annotated, Any, ClassVar, TypeVar, cast, get_args, get_origin, get_type_hints

from balancer.operator_settings.checks import Check
from balancer.operator_settings.faults import Location, short_repr

TableT = TypeVar("TableT", bound="Table")


class Table:
    """A table of the file: a frozen dataclass, whose fields define how `read_table` parses it.

    - `name: Annotated[T, CHECK] = DEFAULT` is a key. The check applies to the value in the file, or else to
      the default unless that is None.
    - `name: TABLE | None = None` is a nested table that is off if it is omitted.
    - `name: TABLE = field(default_factory=TABLE)` is a nested table that only holds others.
    - Any other field is derived from these; `validate` sets it.
    """

    __slots__ = ()
    required_tables: ClassVar[tuple[str, ...]] = ()
    """Other tables that must be present if this one is."""

    @classmethod
    def validate(cls, values: dict[str, Any], given: Set[str], location: Location) -> None:
        """Check values against each other, and add derived values.

        `values` are the values that are valid by themselves, `given` are the keys that the file has.
        """

    def summary(self) -> str:
        """Describe what this table enables; empty if it only holds other tables."""
        return ""


def read_table(table_type: type[TableT], raw: object, location: Location) -> TableT | None:
    """Parse a table; faults are added to `location`, and invalid fields keep their defaults."""
    if not isinstance(raw, Mapping):
        location.add_fault(short_repr(raw), "a table")
        return None
    checks, tables, defaults = _declared_fields(table_type)
    for name in raw:
        if name not in checks and name not in tables:
            _add_unknown_key_fault(name, [*checks, *tables], location)
    values: dict[str, Any] = {}
    for name, check in checks.items():
        if name in raw or defaults[name] is not None:
            raw_value = raw[name] if name in raw else _as_toml(defaults[name])
            if (value := check(raw_value, location.key(name))) is not None:
                values[name] = value
    for name, nested in tables.items():
        if name in raw and (table := read_table(nested, raw[name], location.key(name))) is not None:
            values[name] = table
        for required_table in nested.required_tables:
            if name in raw and required_table not in raw:
                location.key(name).add_fault(
                    f"no [{required_table}] beside it", f"both, or [{required_table}] alone"
                )
    table_type.validate(values, raw.keys(), location)
    return table_type(**values)


def _declared_fields(
    table_type: type[Table],
) -> tuple[dict[str, Check[Any]], dict[str, type[Table]], dict[str, object]]:
    """The checks of a table's keys, its nested tables, and the defaults."""
    checks: dict[str, Check[Any]] = {}
    tables: dict[str, type[Table]] = {}
    for name, hint in get_type_hints(table_type, include_extras=True).items():
        if get_origin(hint) is Annotated:
            checks[name] = hint.__metadata__[0]
        for part in (hint, *get_args(hint)):
            if isinstance(part, type) and issubclass(part, Table):
                tables[name] = part
    return (
        checks,
        tables,
        {table_field.name: table_field.default for table_field in fields(cast(Any, table_type))},
    )


def _as_toml(value: object) -> object:
    if isinstance(value, tuple) and len(value) == 2 and isinstance(value[1], int):  # an address
        return f"[{value[0]}]:{value[1]}" if ":" in value[0] else f"{value[0]}:{value[1]}"
    return list(value) if isinstance(value, tuple) else str(value) if isinstance(value, Path) else value


def _add_unknown_key_fault(name: str, known: list[str], location: Location) -> None:
    """Add a fault for an unknown key. Its value is not shown, as it may be a misplaced password."""
    if location.faults.is_full():  # finding the nearest name is slow in a file with thousands of unknown keys
        location.key(name).add_fault("", "")
        return
    import difflib

    nearest_name = difflib.get_close_matches(name[:100], known, 1, 0.0)[0]
    location.key(name).add_fault("an unknown key", f'{", ".join(known)} (the nearest is "{nearest_name}")')


# --- enabled tables and changes ------------------------------------------------------------------------


def iterate_tables(table: Table, path: str) -> Iterator[tuple[str, Table]]:
    """A table and all its nested tables, each with its path."""
    yield path, table
    for table_field in fields(cast(Any, table)):
        nested = getattr(table, table_field.name)
        if isinstance(nested, Table):
            yield from iterate_tables(nested, f"{path}.{table_field.name}" if path else table_field.name)


def changes(old: Table, new: Table) -> list[str]:
    """The differences, one line for each key or table; the values of secrets are not shown."""
    return list(_iterate_changes(old, new, ""))


def _iterate_changes(old: Table, new: Table, path: str) -> Iterator[str]:
    for table_field in fields(cast(Any, old)):
        old_value, new_value = getattr(old, table_field.name), getattr(new, table_field.name)
        field_path = f"{path}.{table_field.name}" if path else table_field.name
        if isinstance(old_value, Table) and isinstance(new_value, Table):
            yield from _iterate_changes(old_value, new_value, field_path)
        elif isinstance(old_value, Table) or isinstance(new_value, Table):
            yield f"{field_path} is {'off' if new_value is None else 'on: ' + new_value.summary()}"
        elif old_value != new_value:
            yield (
                f"{field_path} changed"
                if not table_field.repr
                else f"{field_path} is {_display_text(new_value)}, was {_display_text(old_value)}"
            )


def _display_text(value: object) -> str:
    return "not set" if value is None else str(value) if isinstance(value, Path) else short_repr(value)
