"""The report as a page: one file, nothing from a network, no name that does anything."""

from __future__ import annotations

import re
from html.parser import HTMLParser
from typing import Any

from balancer.observability.html_report import LANES, page, spans

EVIL = '<script>alert(1)</script>"&\x1b[31m$x$\u202e'
AT = 1_796_000_000_000


def lane(name: str, zone: str = "a") -> dict[str, Any]:
    points = [
        {"at": AT + 1_000 * n, "counts": {"attempts": 5, "ok": 4, "error": 1}, "answer_ms": {"p90": 20.0 + n}}
        for n in range(30)
    ]
    notes = [{"at": AT + 5_000, "what": "ejected", "count": 3, "span_ms": 400}]
    return {"server": name, "zone": zone, "kind": "m", "resolution_s": 1, "points": points, "notes": notes}


def event(
    number: int, scope: str, subject: str, step: str = "departure_began", at: int = AT + 9_000
) -> dict[str, Any]:
    return {
        "event": step,
        "id": number,
        "at": at,
        "since": AT + 4_000,
        "scope": scope,
        "subject": subject,
        "signal": "answer_time",
        "evidence": {"ratio": 3.1},
    }


class Tags(HTMLParser):
    def __init__(self) -> None:
        super().__init__()
        self.found: list[tuple[str, list[tuple[str, str | None]]]] = []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.found.append((tag, attrs))


def test_names_do_nothing_and_nothing_is_loaded() -> None:
    text = page([lane(EVIL), lane("s1")], [event(1, "server", EVIL)], f"Servers {EVIL}")
    tags = Tags()
    tags.feed(text)
    assert not {tag for tag, _ in tags.found} & {"script", "iframe", "img", "link", "object", "image"}
    for _, attrs in tags.found:
        for name, value in attrs:
            assert not name.startswith("on")
            if name in ("src", "href", "xlink:href"):
                assert value and value.startswith("#")
    assert "\x1b" not in text and "&lt;script&gt;" in text and not re.search(r"url\((?!#)", text)
    assert "\u202e" not in text


def test_the_event_is_in_the_table_once_with_its_end_and_shaded_in_its_lanes() -> None:
    events = [event(1, "server", "s1"), event(1, "server", "s1", "departure_ended", AT + 20_000)]
    (one,) = spans(events)
    assert one["until"] == AT + 20_000
    quiet, shaded, zone = (
        page([lane("s1"), lane("s2", "b")], some, "t").count("opacity: 0.15")
        for some in ([], events, [event(2, "zone", "b"), event(3, "all", "all")])
    )
    assert (quiet, shaded, zone) == (0, 1, 3)


def test_lanes_are_bounded_and_none_is_a_page_too() -> None:
    many = page([lane(f"s{n}") for n in range(LANES + 3)], [], "t", left_out=3)
    assert "mathdefault" not in many  # figures on the axes, and no source of a formula
    assert f">s{LANES - 1}<" in many and f">s{LANES}<" not in many and "3 further servers" in many
    assert "Nothing was recorded" in page([], [], "t")
