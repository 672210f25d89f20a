"""Tests of the HTML report: one self-contained file, escaped names, bounded lanes."""

from __future__ import annotations

import re
from html.parser import HTMLParser
from typing import Any

from balancer.observability.html_report import MAX_LANES, event_spans, render_page

HOSTILE_NAME = '<script>alert(1)</script>"&\x1b[31m$x$\u202e'
START_MS = 1_796_000_000_000


def lane(name: str, zone: str = "a") -> dict[str, Any]:
    points = [
        {
            "at": START_MS + 1_000 * second,
            "counts": {"attempts": 5, "ok": 4, "error": 1},
            "answer_ms": {"p90": 20.0 + second},
        }
        for second in range(30)
    ]
    notes = [{"at": START_MS + 5_000, "what": "ejected", "count": 3, "span_ms": 400}]
    return {"server": name, "zone": zone, "kind": "m", "resolution_s": 1, "points": points, "notes": notes}


def event(
    event_id: int, scope: str, subject: str, step: str = "departure_began", at: int = START_MS + 9_000
) -> dict[str, Any]:
    return {
        "event": step,
        "id": event_id,
        "at": at,
        "since": START_MS + 4_000,
        "scope": scope,
        "subject": subject,
        "signal": "answer_time",
        "evidence": {"ratio": 3.1},
    }


class TagCollector(HTMLParser):
    def __init__(self) -> None:
        super().__init__()
        self.found: list[tuple[str, list[tuple[str, str | None]]]] = []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.found.append((tag, attrs))


def test_page_with_hostile_names_has_no_script_and_loads_nothing() -> None:
    text = render_page(
        [lane(HOSTILE_NAME), lane("s1")], [event(1, "server", HOSTILE_NAME)], f"Servers {HOSTILE_NAME}"
    )
    collector = TagCollector()
    collector.feed(text)
    assert not {tag for tag, _ in collector.found} & {"script", "iframe", "img", "link", "object", "image"}
    for _, attrs in collector.found:
        for name, value in attrs:
            assert not name.startswith("on")
            if name in ("src", "href", "xlink:href"):
                assert value and value.startswith("#")
    assert "\x1b" not in text and "&lt;script&gt;" in text and not re.search(r"url\((?!#)", text)
    assert "\u202e" not in text


def test_event_spans_merge_steps_and_shade_the_lanes_concerned() -> None:
    events = [event(1, "server", "s1"), event(1, "server", "s1", "departure_ended", START_MS + 20_000)]
    (span,) = event_spans(events)
    assert span["until"] == START_MS + 20_000
    without_events, with_server_event, with_zone_events = (
        render_page([lane("s1"), lane("s2", "b")], shown_events, "t").count("opacity: 0.15")
        for shown_events in ([], events, [event(2, "zone", "b"), event(3, "all", "all")])
    )
    assert (without_events, with_server_event, with_zone_events) == (0, 1, 3)


def test_page_bounds_its_lanes_and_renders_without_any() -> None:
    text = render_page([lane(f"s{number}") for number in range(MAX_LANES + 3)], [], "t", omitted_count=3)
    assert "mathdefault" not in text  # tick labels are plain numbers, not formula source
    assert f">s{MAX_LANES - 1}<" in text and f">s{MAX_LANES}<" not in text and "3 further servers" in text
    assert "Nothing was recorded" in render_page([], [], "t")
