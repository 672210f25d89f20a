"""Formats the log lines of the endpoint merge. Tests and operators search for these texts."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from balancer.core.discovery.source_state import Source, SourceState
from balancer.endpoints import InvalidEntry

# Lines on entries left out of one list or slice. The log is bounded and shared with other components.
MAX_LOG_LINES_PER_LIST = 20
MASS_REMOVAL_MIN_ENTRIES = 4  # fewer removals in one list never cause a warning


@dataclass(slots=True, frozen=True)
class WriteLog:
    """Write one line to the log."""

    text: str
    is_warning: bool = False


def revision_order_started(source: Source, identity: str) -> WriteLog:
    """The line on a snapshot whose identity differs from that of the source's earlier lists."""
    text = f"{source.name}: new revision order: {identity} replaces {source.identity}"
    return WriteLog(text, is_warning=True)


def list_not_applied(source: Source, reason: str) -> WriteLog:
    """The line on a list that could not be applied to the known records."""
    return WriteLog(f"{source.name}: list not applied: {reason}")


def in_sync_again(source: Source) -> WriteLog:
    """The line on a source that was unreachable or rejected and is current again."""
    return WriteLog(f"{source.name}: in sync again")


def source_unavailable(source: Source, state: SourceState, reason: str) -> WriteLog:
    """The line on a source that has become unreachable or rejected."""
    text = f"{source.name} is {state.value}: {reason}; its last list stays in use"
    return WriteLog(text, is_warning=state is SourceState.REJECTED)


def mass_removal(source: Source, removed_count: int, known_count: int) -> list[WriteLog]:
    """The line on a list that removed most of its source's endpoints; empty for any other list.

    If a source splits revisions over several lists, its watcher logs mass removals instead.
    """
    is_mass = removed_count >= MASS_REMOVAL_MIN_ENTRIES and 2 * removed_count > known_count
    if source.has_partial_revisions or not is_mass:
        return []
    text = f"{source.name}: {removed_count} of {known_count} backends removed at once; applied"
    return [WriteLog(text, is_warning=True)]


def invalid_entries(source: Source, entries: Sequence[InvalidEntry]) -> list[WriteLog]:
    """The lines on entries of one list that could not be parsed."""
    return omissions(
        [f"{source.name}: entry {entry.key!r:.300} left out: {entry.reason:.300}" for entry in entries]
    )


def omissions(texts: Sequence[str]) -> list[WriteLog]:
    """Lines on entries that were left out; beyond the limit, a last line counts the rest."""
    lines = [WriteLog(text) for text in texts[:MAX_LOG_LINES_PER_LIST]]
    omitted_count = len(texts) - MAX_LOG_LINES_PER_LIST
    if omitted_count > 0:
        lines.append(WriteLog(f"{omitted_count} more entries left out; see balancer members"))
    return lines
