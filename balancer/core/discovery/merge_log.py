"""Log lines of the merge. Tests and operators search for these texts."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from balancer.core.discovery.source_state import Source, SourceState
from balancer.endpoints import InvalidEntry

# On entries left out of one list or slice: the log is bounded, and other components need it too.
MAX_LOG_LINES_PER_LIST = 20
MASS_REMOVAL_MIN_ENTRIES = 4  # fewer removals in one list are never worth a warning


@dataclass(slots=True, frozen=True)
class WriteLog:
    """Write a line to the log."""

    text: str
    is_warning: bool = False


def order_begins(source: Source, identity: str) -> WriteLog:
    """A source's snapshot has another identity than the lists before it."""
    text = f"{source.name}: a new order begins: {identity} in place of {source.identity}"
    return WriteLog(text, is_warning=True)


def list_not_applied(source: Source, reason: str) -> WriteLog:
    """A list could not be applied to what is held."""
    return WriteLog(f"{source.name}: not applied: {reason}")


def in_sync_again(source: Source) -> WriteLog:
    """A source that was unreachable or rejected is current."""
    return WriteLog(f"{source.name}: in sync again")


def source_unavailable(source: Source, state: SourceState, reason: str) -> WriteLog:
    """A source is unreachable or rejected from now on."""
    text = f"{source.name} is {state.value}: {reason}; its last list stays in force"
    return WriteLog(text, is_warning=state is SourceState.REJECTED)


def mass_removal(source: Source, removed_count: int, known_count: int) -> list[WriteLog]:
    """One list removed most of what its source had listed. Empty for any other list.

    Where revisions come in several lists whoever joins them logs it.
    """
    is_mass = removed_count >= MASS_REMOVAL_MIN_ENTRIES and 2 * removed_count > known_count
    if source.has_partial_revisions or not is_mass:
        return []
    text = f"{source.name}: {removed_count} of {known_count} backends removed at once; obeyed"
    return [WriteLog(text, is_warning=True)]


def invalid_entries(source: Source, entries: Sequence[InvalidEntry]) -> list[WriteLog]:
    """Entries of one list could not be read."""
    return omissions(
        [f"{source.name}: entry {entry.key!r:.300} left out: {entry.reason:.300}" for entry in entries]
    )


def omissions(texts: Sequence[str]) -> list[WriteLog]:
    """Lines on what was left out, bounded, with a last one that counts the rest."""
    lines = [WriteLog(text) for text in texts[:MAX_LOG_LINES_PER_LIST]]
    omitted_count = len(texts) - MAX_LOG_LINES_PER_LIST
    if omitted_count > 0:
        lines.append(WriteLog(f"{omitted_count} more left out like these; see balancer members"))
    return lines
