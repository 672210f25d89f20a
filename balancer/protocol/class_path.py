"""Which class a request's path names: its first part, percent-encoded where the class's name needs it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar
from urllib.parse import unquote_to_bytes


class Named(Protocol):
    """A class of the settings."""

    @property
    def name(self) -> str:
        """Its name: any text."""


C = TypeVar("C", bound=Named)


class ClassPaths(Generic[C]):
    """Finds the class that a path names.

    A name may hold what a path cannot (`/`, a space, letters outside ASCII, `%`): clients encode those, each
    in its own way (RFC 3986, 2.4), so names are compared as they are meant. Some send a name that looks like
    a path or like something encoded as it stands: that counts where nothing else fits.
    """

    def __init__(self, classes: Iterable[C]) -> None:
        self.by_name = {c.name.encode(): c for c in classes}
        # Longest first: of `a` and `a/b` the path /a/b/x means the second.
        self.paths = sorted((n for n in self.by_name if b"/" in n), key=len, reverse=True)

    def find(self, path: bytes) -> C | None:
        """The class of a path that begins with `/`, or None."""
        first, meant = path[1:].partition(b"/")[0], path
        if b"%" in path:
            meant = unquote_to_bytes(path)
            if (found := self.by_name.get(unquote_to_bytes(first))) is not None:
                return found
        for name in self.paths:
            for text in (path, meant):
                if text.startswith(name, 1) and text[1 + len(name) : 2 + len(name)] in (b"", b"/"):
                    return self.by_name[name]
        return self.by_name.get(first)
