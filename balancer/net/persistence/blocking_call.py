"""Runs a blocking call on a dedicated daemon thread and delivers its result to the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import Generic, TypeVar

ResultT = TypeVar("ResultT")
ArgumentT = TypeVar("ArgumentT")


class BlockingCall(Generic[ResultT]):
    """Runs `work` on a thread that blocks neither the event loop nor the exit of the process.

    `result` is done when the work is. Unlike an executor's thread, this one is not joined at exit, because a
    disk may hang forever.
    """

    def __init__(self, work: Callable[[], ResultT]) -> None:
        """Start the thread; the running event loop receives the result."""
        self._work, self._loop = work, asyncio.get_running_loop()
        self.result: asyncio.Future[ResultT] = self._loop.create_future()
        threading.Thread(target=self._run, name="state", daemon=True).start()

    def _run(self) -> None:
        try:
            value = self._work()
        except BaseException as error:
            self._complete(self._set_exception, error)
        else:
            self._complete(self._set_result, value)

    def _complete(self, callback: Callable[[ArgumentT], None], argument: ArgumentT) -> None:
        with contextlib.suppress(RuntimeError):  # the event loop is closed: no one waits for the result
            self._loop.call_soon_threadsafe(callback, argument)

    def _set_result(self, value: ResultT) -> None:
        if not self.result.cancelled():
            self.result.set_result(value)

    def _set_exception(self, error: BaseException) -> None:
        if not self.result.cancelled():
            self.result.set_exception(error)
