"""What connections to backends hold in memory: themselves, and the bodies of responses."""

from __future__ import annotations

from balancer.core.memory_budget import CONNECTION_BYTES, Charges, MemoryBudget, Use


class BackendMemory:
    """Charges what connections to backends hold to the node's budget."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.connections: Charges[object] = Charges(budget)

    def may_connect(self) -> bool:
        """Whether one more connection may be opened."""
        return self.budget.has_room(Use.CONNECTION, CONNECTION_BYTES)

    def add(self, connection: object) -> None:
        """Charge a new connection."""
        self.connections.update(connection, CONNECTION_BYTES)

    def update(self, connection: object, held_bytes: int) -> bool:
        """Charge what an open connection holds of a response; False if there is no room for it."""
        if connection not in self.connections:
            return True
        is_growth = CONNECTION_BYTES + held_bytes > self.connections[connection]
        self.connections.update(connection, CONNECTION_BYTES + held_bytes)
        if is_growth and not self.budget.has_room(Use.RESPONSE):
            self.budget.reclaim()
        return not is_growth or self.budget.has_room(Use.RESPONSE)

    def discard(self, connection: object) -> None:
        """Release what a connection held, which is closed."""
        self.connections.discard(connection)
