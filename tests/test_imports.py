"""Who may import whom (docs/architecture.md), read from the sources."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1] / "balancer"
IMPURE = {"asyncio", "socket", "os", "time", "threading", "logging", "ssl", "subprocess", "signal", "uvloop"}
SHARED = {"interface", "endpoints", "notification_deadlines"}
# Package or module -> what of the package it may import. A name covers all that is in that package.
MAY = {
    "interface": set(),
    "endpoints": {"interface"},
    "notification_deadlines": set(),
    "policy": {"policy", "interface", "notification_deadlines"},
    "platform_settings": {"interface"},
    "simulator": {"simulator", "platform_settings", "policy", "interface"},
    "operator_settings": SHARED | {"operator_settings", "protocol"},  # the format of a file of keys
    "core": SHARED | {"core"},
    "protocol": SHARED | {"protocol"},
    "ports": SHARED,
    "timeline": SHARED | {"timeline", "core"},
    "observability": SHARED | {"observability", "timeline", "core"},
    "net": SHARED
    | {"net", "ports", "policy", "platform_settings", "operator_settings", "core", "protocol", "store"}
    | {"timeline", "observability"},
    "store": SHARED | {"core", "store"},
}
PURE = (
    "interface",
    "endpoints",
    "notification_deadlines",
    "policy",
    "platform_settings",
    "simulator",
    "core",
    "protocol",
    "ports",
    "timeline",
)
# Clients, backends and discovery never import each other.
APART = {
    "clients": {"http_server", "listener"},
    "backends": {"backend_pool", "backend_connection"},
    "discovery": {"discovery"},
}
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


def package(name: str) -> str:
    """The package, or the module at the top, that a full name is in."""
    return name.split(".")[1]


@pytest.mark.parametrize("path", FILES, ids=lambda path: str(path.relative_to(ROOT)))
def test_module_imports_only_what_its_package_may(path: Path) -> None:
    here = path.relative_to(ROOT).with_suffix("").parts
    names = imported(path)
    ours = {name for name in names if name.startswith("balancer.")}
    if here[0] in MAY:
        wrong = {name for name in ours if package(name) not in MAY[here[0]]}
        assert not wrong, f"{here[0]} may not import {wrong}"
    if here[0] in PURE:
        assert not {name.split(".")[0] for name in names} & IMPURE
    if here[0] != "testbed" and here != ("cli", "testbed"):
        assert not {name for name in ours if package(name) == "testbed"}
    if here[0] == "testbed":  # arguments are read by the command line
        assert not {name.split(".")[0] for name in names} & {"argparse", "click"}
        assert not {name for name in ours if package(name) == "cli"}
    if here[0] == "net":
        parts = {part for part, members in APART.items() if here[1] in members}
        others = set().union(*(members for part, members in APART.items() if part not in parts))
        assert not parts or not {
            name for name in ours if name.split(".")[1:2] == ["net"] and name.split(".")[2] in others
        }


def test_every_package_has_a_rule() -> None:
    """Guards against a folder that no rule names."""
    packages = {path.relative_to(ROOT).parts[0].removesuffix(".py") for path in FILES}
    assert packages <= MAY.keys() | {"__init__", "__main__", "cli", "testbed"}
