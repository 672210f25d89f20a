"""`[timeline]`: the recorded history of each server."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from typing import Annotated, Any

from balancer.operator_settings.checks import integer, require_package
from balancer.operator_settings.faults import Location
from balancer.operator_settings.table import Table


@dataclass(slots=True, frozen=True, kw_only=True)
class TimelineSettings(Table):
    """`[timeline]`: the history of each server and of the decisions about it, in `memory_mb` of memory."""

    memory_mb: Annotated[int, integer(2)] = 16

    @classmethod
    def validate(cls, values: dict[str, Any], given: Set[str], location: Location) -> None:
        """Check that the optional package `msgspec` is installed, and the memory bound."""
        require_package("msgspec", "timeline", location)
        if values.get("memory_mb", 0) > 4_096:
            location.key("memory_mb").add_fault(str(values["memory_mb"]), "a whole number from 2 to 4096")

    def summary(self) -> str:
        """Describe the memory bound."""
        return f"the time line of each server in {self.memory_mb} MB; see balancer timeline, events and why"
