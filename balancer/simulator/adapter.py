"""Hosts many instances of the decision module on the simulator's wire (standard input and output)."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import TextIO

from balancer.interface import (
    CallError,
    Event,
    NoteBackendDecision,
    Settings,
    SettingsError,
)
from balancer.platform_settings import read
from balancer.policy.balancer import Balancer
from balancer.simulator import wire


class Host:
    """Reads batches, hands each event to its instance, collects the reply. Instances share nothing."""

    def __init__(self) -> None:
        self.instances: dict[int, tuple[Balancer, Settings]] = {}

    def batch(self, now: float, lines: Iterator[str]) -> list[str]:
        """One batch after its SYNC line, up to and with GO; the reply's lines."""
        out: list[str] = []
        who, speaking = -1, -1
        for line in lines:
            if line == "GO":
                out.append("FINISHED")
                return out
            word = line[: line.index(" ")] if " " in line else line
            if word == "CONTEXT":
                who = self._context(line)
                continue
            if word == "START":
                self._start(who, line)
                continue
            if word == "STOP":
                self.instances.pop(who, None)
                continue
            if who not in self.instances:
                raise wire.WireError(f"event for instance {who}, which was never started: {line[:120]!r}")
            balancer, settings = self.instances[who]
            event = self._event(line, word, settings, lines)
            try:
                actions = balancer.handle(now, event)
            except CallError:
                raise
            except Exception as err:  # the wire wants a broken decision module named, not a dead process
                out.append(f"SPEAKING {who}")
                out.append(f"EXCEPTION {type(err).__name__}: {' '.join(str(err).split())[:200]}")
                speaking = who
                continue
            told = [wire.action(action) for action in actions if type(action) is not NoteBackendDecision]
            if told:
                if who != speaking:
                    out.append(f"SPEAKING {who}")
                    speaking = who
                out += told
        raise wire.WireError("input ended inside a batch")

    @staticmethod
    def _context(line: str) -> int:
        if not line[8:].isdecimal():
            raise wire.WireError(f"malformed line: {line[:120]!r}")
        return int(line[8:])

    def _start(self, who: int, line: str) -> None:
        parts = line.split(" ", 2)
        if who < 0 or len(parts) != 3 or not parts[1].isdecimal():
            raise wire.WireError(f"malformed line: {line[:120]!r}")
        settings = read(parts[2])
        self.instances[who] = (Balancer(settings, int(parts[1])), settings)

    @staticmethod
    def _event(line: str, word: str, settings: Settings, lines: Iterator[str]) -> Event:
        if word != "DIRECTORY_UPDATE":
            return wire.event(line, settings.load_report_fields)
        update, count = wire.list_update(line)
        for _ in range(count):
            update.endpoints.append(wire.entry(next(lines, "")))
        return update


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batch after batch until the input ends between two of them."""
    host = Host()
    lines = (line.rstrip("\n") for line in source)
    for line in lines:
        word, _, clock = line.partition(" ")
        if word != "SYNC":
            raise wire.WireError(f"expected SYNC, got {line[:120]!r}")
        try:
            now = wire.time(clock)
        except ValueError:
            raise wire.WireError(f"malformed line: {line[:120]!r}") from None
        sink.write("\n".join(host.batch(now, lines)))
        sink.write("\n")
        sink.flush()


def main() -> int:
    """Entry point; input faults end with one plain line on standard error."""
    try:
        serve(sys.stdin, sys.stdout)
    except (wire.WireError, SettingsError, CallError, UnicodeDecodeError) as err:
        print(f"balancer: {' '.join(str(err).split())}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
