"""Finds the request class that the first segment of a path names, percent-encoded where needed."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar
from urllib.parse import unquote_to_bytes


class NamedClass(Protocol):
    """A request class of the settings."""

    @property
    def name(self) -> str:
        """The name, which may be any text."""


ClassT = TypeVar("ClassT", bound=NamedClass)


class ClassPaths(Generic[ClassT]):
    """Finds the class that a path names.

    A name may contain characters that a path segment cannot (`/`, a space, letters outside ASCII, `%`).
    Clients differ in which characters they encode (RFC 3986, 2.4), so names are compared decoded. Some
    clients send a name that contains `/` or `%` without encoding it: it is matched if no other class is.
    """

    def __init__(self, classes: Iterable[ClassT]) -> None:
        self.class_by_name = {request_class.name.encode(): request_class for request_class in classes}
        # Longest first: with classes `a` and `a/b`, the path /a/b/x names the second.
        self.names_with_slash = sorted(
            (name for name in self.class_by_name if b"/" in name), key=len, reverse=True
        )

    def find(self, path: bytes) -> ClassT | None:
        """The class of a path that begins with `/`, or None."""
        first_segment, decoded_path = path[1:].partition(b"/")[0], path
        if b"%" in path:
            decoded_path = unquote_to_bytes(path)
            if (request_class := self.class_by_name.get(unquote_to_bytes(first_segment))) is not None:
                return request_class
        for name in self.names_with_slash:
            for candidate in (path, decoded_path):
                if candidate.startswith(name, 1) and candidate[1 + len(name) : 2 + len(name)] in (b"", b"/"):
                    return self.class_by_name[name]
        return self.class_by_name.get(first_segment)
