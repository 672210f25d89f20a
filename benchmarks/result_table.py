"""What all measurements have in common: cores, a process's memory and CPU time, figures as a table."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import median


@dataclass(slots=True, frozen=True)
class Row:
    """One line of a table: what was measured, the figure, and what is aimed at."""

    what: str
    figure: str
    aim: str = ""


def table(title: str, rows: Iterable[Row]) -> list[str]:
    """A table as the operators' page has it, in Markdown."""
    cells = [("what", "figure", "aim"), *((row.what, row.figure, row.aim) for row in rows)]
    widths = [max(len(line[column]) for line in cells) for column in range(3)]
    cells.insert(1, ("-" * widths[0], "-" * widths[1], "-" * widths[2]))
    lines = [" | ".join(text.ljust(w) for text, w in zip(line, widths, strict=True)) for line in cells]
    return [f"### {title}", "", *(f"| {line} |" for line in lines), ""]


def part_of(values: Sequence[float], part: float) -> float:
    """The value that this part of all is not above; NaN of none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else float("nan")


def spread(values: Sequence[float], unit: str) -> str:
    """The median of several runs, with the least and the most where they are more than one."""
    if len(values) == 1:
        return f"{values[0]:.1f} {unit}"
    return f"{median(values):.1f} {unit} ({min(values):.1f} to {max(values):.1f})"


def memory_mb(pid: int) -> tuple[float, float]:
    """What a process holds in memory, now and at its peak, in MB of 1,000,000 bytes (Linux)."""
    fields = dict(
        line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines() if ":" in line
    )
    now, peak = (int(fields[name].split()[0]) * 1024 / 1e6 for name in ("VmRSS", "VmHWM"))
    return now, peak


def cpu_ms(pid: int) -> float:
    """The CPU time that a process's first thread has had so far, in milliseconds (Linux)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e6


def waited_ms(pid: int) -> float:
    """How long a process's first thread was ready to run and had no core so far, in ms (Linux)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e6


def cores(text: str) -> set[int]:
    """Cores out of words such as `1-3,5`; raises ValueError."""
    out: set[int] = set()
    for part in text.split(","):
        first, _, last = part.partition("-")
        out |= set(range(int(first), int(last or first) + 1))
    if not out:
        raise ValueError(f"no cores: {text!r}")
    return out


@contextlib.contextmanager
def on(where: set[int]) -> Iterator[None]:
    """Run on these cores for a while, and what is started meanwhile for good; none: on any."""
    before = os.sched_getaffinity(0)
    if where:
        os.sched_setaffinity(0, where)
    try:
        yield
    finally:
        os.sched_setaffinity(0, before)
