"""The body of a request or a response while it is received, held once.

A long body is kept in pages of its own (mmap(2)), which the system takes back with the last reference: on the
heap, bodies of many lengths would leave gaps that nothing else fits. It is written without a copy.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from balancer.core.connection_admission import MAX_FORWARDED_BODY_BYTES

if TYPE_CHECKING:
    from mmap import mmap

MAX_HEAP_BODY_BYTES = 16 * 1024


class BodyBuffer:
    """Bytes that are appended to, `MAX_FORWARDED_BODY_BYTES` at most."""

    __slots__ = ("_heap", "_pages", "size")

    def __init__(self) -> None:
        self.size = 0
        self._heap = bytearray()
        self._pages: mmap | None = None

    def __len__(self) -> int:
        return self.size

    @property
    def held_bytes(self) -> int:
        """The memory that the body takes."""
        if self._pages is None:
            return self._heap.__alloc__()
        from mmap import PAGESIZE

        return -(-self.size // PAGESIZE) * PAGESIZE

    def append(self, piece: bytes) -> None:
        """Append a piece of the body."""
        start, self.size = self.size, self.size + len(piece)
        if self._pages is not None:
            self._pages[start : self.size] = piece
        elif self.size <= MAX_HEAP_BODY_BYTES:
            self._heap += piece
        else:
            self._pages = _new_pages()
            self._pages[:start] = self._heap
            self._pages[start : self.size] = piece
            self._heap = bytearray()

    def take(self) -> bytes | memoryview:
        """Return the whole body, and hold nothing any more."""
        heap, pages, size = self._heap, self._pages, self.size
        self._heap, self._pages, self.size = bytearray(), None, 0
        return bytes(heap) if pages is None else memoryview(pages).toreadonly()[:size]


def _new_pages() -> mmap:
    """Return pages for the longest body; those that are not written to take no memory."""
    import mmap

    pages = mmap.mmap(-1, MAX_FORWARDED_BODY_BYTES, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
    if hasattr(mmap, "MADV_NOHUGEPAGE"):
        pages.madvise(mmap.MADV_NOHUGEPAGE)  # pages of neighbours would be merged into a huge one
    return pages
