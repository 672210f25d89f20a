"""Who may import whom (docs/architecture.md), read from the sources."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1] / "dillport"
IMPURE = {"asyncio", "socket", "os", "time", "threading", "logging", "ssl", "subprocess", "signal", "uvloop"}
CORE = {"interface", "members", "messages"}
# Room or module -> what of the package it may import. A name covers all that is in that room.
MAY = {
    "interface": set(),
    "members": {"interface"},
    "messages": {"interface"},
    "state": {"interface"},
    "index": {"state", "interface"},
    "policy": {"state", "index", "interface"},
    "laying": {"policy", "state", "interface"},
    "settings": {"interface"},
    "wire": {"settings", "interface"},
    "simhost": {"wire", "settings", "policy", "interface"},
    "operators": CORE | {"operators", "proto"},  # the form of a file of keys
    "decide": CORE | {"decide"},
    "proto": CORE | {"proto"},
    "relay": CORE | {"relay", "policy", "decide"},
    "timeline": CORE | {"timeline", "decide"},
    "observe": CORE | {"observe", "timeline", "decide"},
    "net": CORE | {"net", "relay", "policy", "laying", "settings", "operators", "decide", "proto", "store",
            "timeline", "observe"},
    "store": CORE | {"decide", "store"},
    "grpcplug": CORE | {"grpcplug", "relay", "settings", "decide", "proto", "operators"},
    "client": CORE | {"client", "proto"},
}
PURE = (
    "interface", "members", "messages", "state", "index", "policy", "laying", "settings", "wire", "decide",
    "proto", "relay", "timeline",
)  # fmt: skip
FILES = sorted(ROOT.rglob("*.py"))


def imported(path: Path) -> set[str]:
    """Full names of all that a file imports, wherever in it."""
    out = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            out |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: a relative import"
            out |= {f"{node.module}.{alias.name}" for alias in node.names}
    return out


def room(name: str) -> str:
    """The room, or the module at the top, that a full name of the package is in."""
    return name.split(".")[1]


@pytest.mark.parametrize("path", FILES, ids=lambda path: str(path.relative_to(ROOT)))
def test_the_borders_hold(path: Path) -> None:
    here = path.relative_to(ROOT).with_suffix("").parts
    names = imported(path)
    ours = {name for name in names if name.startswith("dillport.")}
    if here[0] in MAY:
        wrong = {name for name in ours if room(name) not in MAY[here[0]]}
        assert not wrong, f"{here[0]} may not import {wrong}"
    if here[0] in PURE:
        assert not {name.split(".")[0] for name in names} & IMPURE
    if here[0] != "lab" and here != ("cli", "lab"):  # the words that run on the stand-ins
        assert not {name for name in ours if room(name) == "lab"}
    if here[0] == "lab":  # words are read by the command line
        assert not {name.split(".")[0] for name in names} & {"argparse", "click"}
        assert not {name for name in ours if room(name) == "cli"}
    if here[:2] in (("net", "fronts"), ("net", "upstreams"), ("net", "sources")) and here[-1] != "__init__":
        apart = {"fronts", "upstreams", "sources"} - {here[1]}
        assert not {name for name in ours if name.split(".")[1:2] == ["net"] and set(name.split(".")) & apart}


def test_every_room_is_named() -> None:
    """Guards against a folder that no border speaks of."""
    rooms = {path.relative_to(ROOT).parts[0].removesuffix(".py") for path in FILES}
    assert rooms <= MAY.keys() | {"__init__", "__main__", "cli", "lab"}
