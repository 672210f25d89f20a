"""A picture of a few lines in panels, as SVG, by hand: no library is needed to see the figures."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from html import escape

WIDTH, HEIGHT, LEFT, TOP, GAP, FOOT = 250, 210, 60, 60, 30, 60
COLOURS = ("#0b5394", "#999999", "#d5802b", "#3d8c40")
Line = Sequence[tuple[float, float]]


@dataclass(slots=True, frozen=True)
class Panel:
    """One field of the picture: its title and its lines by name; both axes are logarithmic."""

    title: str
    lines: Mapping[str, Line]


def svg(title: str, across: str, up: str, panels: Sequence[Panel], low: float, high: float) -> str:
    """The whole picture; what is under `low` or over `high` is drawn at the edge."""
    xs = sorted({x for panel in panels for line in panel.lines.values() for x, _ in line})
    names = list(dict.fromkeys(name for panel in panels for name in panel.lines))
    width = LEFT + len(panels) * (WIDTH + GAP)
    height = TOP + HEIGHT + FOOT
    out = [
        f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {width} {height}" '
        'font-family="sans-serif" font-size="12">',
        f'<rect width="{width}" height="{height}" fill="white"/>',
        _text(LEFT, 20, title, "start", 'font-size="15"'),
    ]
    for number, name in enumerate(names):
        at = LEFT + 130 * number
        out.append(f'<path d="M{at} 36h24" stroke="{COLOURS[number]}" stroke-width="2.5"/>')
        out.append(_text(at + 30, 40, name, "start"))

    def across_at(x: float) -> float:
        span = math.log(xs[-1] / xs[0]) or 1.0
        return WIDTH * math.log(x / xs[0]) / span

    def up_at(y: float) -> float:
        return HEIGHT * (1 - math.log(min(high, max(low, y)) / low) / math.log(high / low))

    for place, panel in enumerate(panels):
        left = LEFT + place * (WIDTH + GAP)
        out.append(f'<g transform="translate({left} {TOP})">')
        for power in range(math.ceil(math.log10(low)), math.floor(math.log10(high)) + 1):
            y = up_at(10.0**power)
            out.append(f'<path d="M0 {y:.1f}h{WIDTH}" stroke="#dddddd"/>')
            if not place:
                out.append(_text(-6, y + 4, f"{10.0**power:g}", "end"))
        for x in xs:
            out.append(_text(across_at(x), HEIGHT + 16, f"{x:,.0f}", "middle"))
        out.append(f'<rect width="{WIDTH}" height="{HEIGHT}" fill="none" stroke="#666666"/>')
        out.append(_text(WIDTH / 2, HEIGHT + 34, panel.title, "middle"))
        for number, name in enumerate(names):
            points = [(across_at(x), up_at(y)) for x, y in panel.lines.get(name, ())]
            path, colour = " ".join(f"{x:.1f},{y:.1f}" for x, y in points), COLOURS[number]
            out.append(f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="2.5"/>')
            out += [f'<circle cx="{x:.1f}" cy="{y:.1f}" r="3" fill="{colour}"/>' for x, y in points]
        out.append("</g>")
    out.append(_text(width / 2, height - 6, across, "middle"))
    out.append(f'<g transform="translate(14 {TOP + HEIGHT / 2}) rotate(-90)">{_text(0, 0, up, "middle")}</g>')
    return "\n".join([*out, "</svg>", ""])


def _text(x: float, y: float, words: str, anchor: str, more: str = "") -> str:
    return f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}" {more}>{escape(words)}</text>'
