"""A blocking call on a daemon thread of its own, with its result in the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")
ArgumentT = TypeVar("ArgumentT")


class BlockingCall(Generic[T]):
    """Runs `work` on a thread that holds up neither the event loop nor the end of the process.

    `result` is done when the work is. Unlike that of an executor, the thread is not joined at the end of the
    process: a disk may hang for ever.
    """

    def __init__(self, work: Callable[[], T]) -> None:
        """Start the thread; the running event loop receives the result."""
        self._work, self._loop = work, asyncio.get_running_loop()
        self.result: asyncio.Future[T] = self._loop.create_future()
        threading.Thread(target=self._run, name="state", daemon=True).start()

    def _run(self) -> None:
        try:
            value = self._work()
        except BaseException as error:
            self._complete(self._set_exception, error)
        else:
            self._complete(self._set_result, value)

    def _complete(self, callback: Callable[[ArgumentT], None], argument: ArgumentT) -> None:
        with contextlib.suppress(RuntimeError):  # the event loop is closed: nobody waits any more
            self._loop.call_soon_threadsafe(callback, argument)

    def _set_result(self, value: T) -> None:
        if not self.result.cancelled():
            self.result.set_result(value)

    def _set_exception(self, error: BaseException) -> None:
        if not self.result.cancelled():
            self.result.set_exception(error)
