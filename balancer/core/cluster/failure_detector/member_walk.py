"""Contacts nodes outside of the ring and fetches their members, so that joins succeed and partitions heal."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from balancer.core.cluster.failure_detector import parameters
from balancer.core.cluster.failure_detector.dissemination import Dissemination
from balancer.core.cluster.failure_detector.events import DatagramReceived
from balancer.core.cluster.failure_detector.members import MemberTable
from balancer.core.cluster.failure_detector.messages import MessageKind
from balancer.core.cluster.failure_detector.own_node import OwnNode

_CONTACTS_PER_SEED = 4  # one in this many contacts goes to a seed, the others to tombstones


class _Page(NamedTuple):
    """A page of a peer's members that was requested and has not arrived."""

    address: str
    position: int


class MemberWalk:
    """Contacts seeds and tombstones, and fetches the members of nodes that answer, one page at a time."""

    def __init__(
        self, seeds: Sequence[str], own_node: OwnNode, members: MemberTable, dissemination: Dissemination
    ) -> None:
        self._own_node = own_node
        self._members = members
        self._dissemination = dissemination
        self._contact_count = 0
        self._awaited_page: _Page | None = None
        self._page_attempts = 0
        self._last_page_ms = float("-inf")
        self.set_seeds(seeds)

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Sets the addresses that are contacted at the start and periodically, without the own address."""
        self.seeds = [seed for seed in dict.fromkeys(seeds) if seed != self._own_node.address]
        self._seed_index = 0

    def start(self) -> None:
        """Contacts all seeds."""
        for seed in self.seeds:
            self._request(seed, 0)

    def contact_next(self) -> None:
        """Requests the awaited page again, or else contacts the next tombstone or seed."""
        self._contact_count += 1
        if self._awaited_page is not None:
            self._page_attempts += 1
            self._request(*self._awaited_page)
            if self._page_attempts >= parameters.MAX_PAGE_ATTEMPTS:
                self._awaited_page = None
            return
        is_seed_due = self._contact_count % _CONTACTS_PER_SEED == _CONTACTS_PER_SEED - 1
        tombstones = self._members.tombstones
        if tombstones and not (is_seed_due and self.seeds):
            name = next(iter(tombstones))
            tombstones.move_to_end(name)
            self._request(self._members.peers[name].record.address, 0)
            return
        self._contact_seed()

    def on_page(self, now_ms: float, event: DatagramReceived) -> None:
        """Requests the page that follows a received one.

        There is only one walk at a time, and it terminates because positions only increase.
        """
        position, awaited_page = event.message.sequence, self._awaited_page
        if awaited_page is None or awaited_page.address != event.source:
            may_request_next = now_ms - self._last_page_ms > parameters.WALK_INTERVAL_MS
        elif not position:
            self._awaited_page = None
            return
        else:
            may_request_next = position > awaited_page.position
        if position and may_request_next:
            self._last_page_ms = now_ms
            self._awaited_page = _Page(event.source, position)
            self._page_attempts = 0
            self._request(event.source, position)

    def _contact_seed(self) -> None:
        """Contacts the next seed; unless this node is silent, seeds that are in the ring are skipped."""
        for _ in range(len(self.seeds)):
            self._seed_index = (self._seed_index + 1) % len(self.seeds)
            seed = self.seeds[self._seed_index]
            if self._own_node.is_silent or seed not in self._members.names_by_address:
                self._request(seed, 0)
                return

    def _request(self, address: str, position: int) -> None:
        self._dissemination.send(address, MessageKind.MEMBERS_REQUEST, position)
