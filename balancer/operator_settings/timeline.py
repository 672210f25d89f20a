"""`[timeline]`: the time line of each server."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from typing import Annotated, Any

from balancer.operator_settings.checks import package, whole
from balancer.operator_settings.faults import Location
from balancer.operator_settings.table import Table


@dataclass(slots=True, frozen=True, kw_only=True)
class TimelineSettings(Table):
    """`[timeline]`: what each server did and what was decided about it, in so much memory."""

    memory_mb: Annotated[int, whole(2)] = 16

    @classmethod
    def validate(cls, values: dict[str, Any], given: Set[str], at: Location) -> None:
        """It needs `msgspec`, which a bare install leaves out."""
        package("msgspec", "timeline", at)
        if values.get("memory_mb", 0) > 4_096:
            at.key("memory_mb").fault(str(values["memory_mb"]), "a whole number from 2 to 4096")

    def summary(self) -> str:
        """What it may hold."""
        return f"the time line of each server in {self.memory_mb} MB; see balancer timeline, events and why"
