"""Ports of the relay: what it needs of others, and what others may hang on it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from balancer import interface as api


class Observer(Protocol):
    """Who is shown each event and what the module made of it, at the one gate that all of them pass."""

    def on_decision(self, now_ms: float, event: api.Event, actions: Sequence[api.Action]) -> None:
        """The module was handed `event` at `now_ms` (the node's clock) and answered with `actions`.

        It is called before they are carried out, must not change either, and must return within
        microseconds: requests wait. One that raises is taken off and named in the log.
        """
