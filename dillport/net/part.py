"""What the operators' file switches on while a node runs: its one shape, and what it may hold on to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from dillport.decide.membership import Source
from dillport.net.control import Control
from dillport.net.fleet import Fleet
from dillport.net.node import Node
from dillport.operators import Operators

if TYPE_CHECKING:
    from dillport.timeline.watch import Watch


class Part(Protocol):
    """One thing that the operators' file switches on, off and over; made by the first settings with it on."""

    def apply(self, settings: Operators) -> None:
        """Do as these settings say from now on; they may say the same of it as before.

        Raises ValueError where that cannot be, in plain words, and leaves all as it was.
        """

    async def close(self) -> None:
        """Switch it off; the node ends."""


@dataclass(slots=True)
class Running:
    """The running node as its parts see it. `listed` come before any source of theirs in precedence."""

    node: Node
    fleet: Fleet
    listed: tuple[Source, ...]
    control: Control
    watch: Watch | None = None  # the time line's, while that is on
