"""One budget for all that a node holds for its clients and backends, so that its process keeps its limit.

The limit is on the resident memory of the process. The budget is what remains of it: less a reserve, and less
the *overhead*, which is everything that nobody charges: the program, the endpoint list, fragmentation. The
overhead is observed: the resident memory exceeds by it the most that was ever charged at once. (What is
released may stay resident, so the present charges would not do.)

Each kind of use may fill the budget up to a ratio of its own, so that what may grow without bounds never
takes what usual requests need.

The module uses no clock and reads no system state.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum
from typing import Generic, TypeVar

BYTES_PER_MB = 1_000_000
RESERVE_RATIO = 1 / 12  # of the limit, for what grows between two observations
MIN_RESERVE_BYTES = 3_000_000
MAX_CAPACITY_RATIO = 0.5  # of the limit
MIN_CAPACITY_BYTES = 2_000_000  # of a node whose limit is too low for it
OBSERVATION_INTERVAL_BYTES = 256 * 1024  # of growth, after which the resident memory is read
CONNECTION_BYTES = 8 * 1024  # of resident memory for one connection without its input
SMALL_REQUEST_BYTES = 8 * 1024

Key = TypeVar("Key")


class Use(Enum):
    """What memory is used for; the value is the ratio of the budget up to which it may fill that."""

    UNREAD_RESPONSE = 0.6  # of a client that has stopped reading
    LARGE_REQUEST = 0.7
    SMALL_REQUEST = 0.85
    CONNECTION = 0.9
    RESPONSE = 1.0  # of a backend; its request was admitted


class MemoryBudget:
    """The bytes that are charged by all holders, and how many they may be."""

    def __init__(
        self,
        capacity_bytes: float,
        limit_bytes: float = math.inf,
        read_resident_bytes: Callable[[], int] | None = None,
    ) -> None:
        """`capacity_bytes` holds until the first observation; without a reader there is none."""
        self.capacity_bytes, self.limit_bytes = capacity_bytes, limit_bytes
        self._read_resident_bytes = read_resident_bytes
        self.reserve_bytes = max(MIN_RESERVE_BYTES, RESERVE_RATIO * limit_bytes)
        self.charged_bytes = 0
        self.overhead_bytes = self.resident_bytes = 0
        self.reclaim: Callable[[], None] = lambda: None  # makes room if it can; set by an owner of holders
        self._peak_charged_bytes = self._observed_charged_bytes = 0
        self._highest_resident_bytes = 0
        self._cap_bytes = math.inf  # what was charged as the reserve was touched

    @classmethod
    def of_process(cls, memory_mb: float, read_resident_bytes: Callable[[], int]) -> MemoryBudget:
        """Return the budget of a process that may take `memory_mb`, with what it takes already."""
        budget = cls(MIN_CAPACITY_BYTES, memory_mb * BYTES_PER_MB, read_resident_bytes)
        budget.refresh()
        return budget

    def __repr__(self) -> str:
        return f"<MemoryBudget {self.charged_bytes} of {self.capacity_bytes:.0f} bytes>"

    def charge(self, change_bytes: int) -> None:
        """Charge bytes that are held from now on, or release them if the change is negative."""
        self.charged_bytes += change_bytes
        if self.charged_bytes > self._peak_charged_bytes:
            self._peak_charged_bytes = self.charged_bytes
        if self.charged_bytes - self._observed_charged_bytes >= OBSERVATION_INTERVAL_BYTES:
            self.refresh()

    def excess_bytes(self, use: Use) -> float:
        """Return how many bytes are charged beyond what this use may fill; negative if there is room."""
        return self.charged_bytes - use.value * self.capacity_bytes

    def has_room(self, use: Use, further_bytes: int = 0) -> bool:
        """Whether so many bytes more may be held for this use."""
        return self.excess_bytes(use) + further_bytes <= 0

    def refresh(self) -> None:
        """Read the resident memory, as growth of the charges does by itself."""
        self._observed_charged_bytes = self.charged_bytes
        if self._read_resident_bytes is not None:
            self.observe(self._read_resident_bytes())

    def observe(self, resident_bytes: int) -> None:
        """Adapt the budget to the resident memory of the process."""
        self.resident_bytes = resident_bytes
        self.overhead_bytes = max(self.overhead_bytes, resident_bytes - self._peak_charged_bytes)
        usable_bytes = self.limit_bytes - self.reserve_bytes
        if resident_bytes < usable_bytes:
            self._cap_bytes, self._highest_resident_bytes = math.inf, 0
        elif resident_bytes > self._highest_resident_bytes:
            # Growth into the reserve costs as much of what is held; a level that stays costs no more.
            self._highest_resident_bytes = resident_bytes
            self._cap_bytes = min(self._cap_bytes, self.charged_bytes - (resident_bytes - usable_bytes))
        self.capacity_bytes = max(
            MIN_CAPACITY_BYTES,
            min(
                usable_bytes - self.overhead_bytes,
                MAX_CAPACITY_RATIO * self.limit_bytes,
                self._cap_bytes,
            ),
        )


class Charges(Generic[Key]):
    """What each of some holders has charged to the budget."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget, self.total_bytes = budget, 0
        self._charged_bytes: dict[Key, int] = {}

    def __contains__(self, key: object) -> bool:
        return key in self._charged_bytes

    def __getitem__(self, key: Key) -> int:
        return self._charged_bytes.get(key, 0)

    def update(self, key: Key, held_bytes: int) -> None:
        """Charge what a holder holds now, in place of what it held."""
        change_bytes = held_bytes - self._charged_bytes.get(key, 0)
        self._charged_bytes[key] = held_bytes
        if change_bytes:
            self.total_bytes += change_bytes
            self.budget.charge(change_bytes)

    def discard(self, key: Key) -> None:
        """Release what a holder held."""
        if released_bytes := self._charged_bytes.pop(key, 0):
            self.total_bytes -= released_bytes
            self.budget.charge(-released_bytes)
