"""Runs instances of the decision module for the simulator, over standard input and output."""

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
from balancer.platform_settings import parse_json
from balancer.policy.balancer import Balancer
from balancer.simulator import wire


class ModuleHost:
    """Passes the events of a batch to their instances and collects the actions.

    Instances share no state.
    """

    def __init__(self) -> None:
        self.instances: dict[int, tuple[Balancer, Settings]] = {}

    def process_batch(self, now_ms: float, lines: Iterator[str]) -> list[str]:
        """Process the lines of a batch after SYNC, up to and including GO; returns the lines of the reply."""
        reply_lines: list[str] = []
        instance_id, last_speaker_id = -1, -1
        for line in lines:
            if line == "GO":
                reply_lines.append("FINISHED")
                return reply_lines
            message_type = line[: line.index(" ")] if " " in line else line
            if message_type == "CONTEXT":
                instance_id = self._parse_context(line)
                continue
            if message_type == "START":
                self._start_instance(instance_id, line)
                continue
            if message_type == "STOP":
                self.instances.pop(instance_id, None)
                continue
            if instance_id not in self.instances:
                raise wire.WireError(
                    f"event for instance {instance_id}, which was never started: {line[:120]!r}"
                )
            balancer, settings = self.instances[instance_id]
            event = self._parse_event(line, message_type, settings, lines)
            try:
                actions = balancer.handle(now_ms, event)
            except CallError:
                raise
            except Exception as err:  # the protocol reports a failed decision module; the process continues
                reply_lines.append(f"SPEAKING {instance_id}")
                reply_lines.append(f"EXCEPTION {type(err).__name__}: {' '.join(str(err).split())[:200]}")
                last_speaker_id = instance_id
                continue
            action_lines = [
                wire.action(action) for action in actions if type(action) is not NoteBackendDecision
            ]
            if action_lines:
                if instance_id != last_speaker_id:
                    reply_lines.append(f"SPEAKING {instance_id}")
                    last_speaker_id = instance_id
                reply_lines += action_lines
        raise wire.WireError("input ended inside a batch")

    @staticmethod
    def _parse_context(line: str) -> int:
        if not line[8:].isdecimal():
            raise wire.WireError(f"malformed line: {line[:120]!r}")
        return int(line[8:])

    def _start_instance(self, instance_id: int, line: str) -> None:
        parts = line.split(" ", 2)
        if instance_id < 0 or len(parts) != 3 or not parts[1].isdecimal():
            raise wire.WireError(f"malformed line: {line[:120]!r}")
        settings = parse_json(parts[2])
        self.instances[instance_id] = (Balancer(settings, int(parts[1])), settings)

    @staticmethod
    def _parse_event(line: str, message_type: str, settings: Settings, lines: Iterator[str]) -> Event:
        if message_type != "DIRECTORY_UPDATE":
            return wire.parse_event(line, settings.load_report_fields)
        update, entry_count = wire.parse_list_update(line)
        for _ in range(entry_count):
            update.endpoints.append(wire.parse_entry(next(lines, "")))
        return update


def serve(source: TextIO, sink: TextIO) -> None:
    """Process batches until the input ends between two of them."""
    host = ModuleHost()
    lines = (line.rstrip("\n") for line in source)
    for line in lines:
        message_type, _, clock_text = line.partition(" ")
        if message_type != "SYNC":
            raise wire.WireError(f"expected SYNC, got {line[:120]!r}")
        try:
            now_ms = wire.parse_number(clock_text)
        except ValueError:
            raise wire.WireError(f"malformed line: {line[:120]!r}") from None
        sink.write("\n".join(host.process_batch(now_ms, lines)))
        sink.write("\n")
        sink.flush()


def main() -> int:
    """Entry point; invalid input ends the process with one line on standard error."""
    try:
        serve(sys.stdin, sys.stdout)
    except (wire.WireError, SettingsError, CallError, UnicodeDecodeError) as err:
        print(f"balancer: {' '.join(str(err).split())}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
