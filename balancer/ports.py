"""Ports of the relay: the interfaces of components that are attached to it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from balancer import interface as api


class Observer(Protocol):
    """Receives each event of the decision module together with the actions that it returned."""

    def on_decision(self, now_ms: float, event: api.Event, actions: Sequence[api.Action]) -> None:
        """The module handled `event` at `now_ms` (the node's clock) and returned `actions`.

        It is called before the actions are executed, must not modify either, and must return within
        microseconds, as requests wait for it. An observer that raises is removed, and the log names it.
        """
