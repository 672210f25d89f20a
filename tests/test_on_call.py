"""The on-call page lists every log line of the program, and no other."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[1]
PACKAGES_WITHOUT_NODE = ("testbed", "simulator")
LOGGERS = frozenset({"log", "logging"})
LOG_METHODS = frozenset({"debug", "info", "warning", "error", "exception", "log"})
LOG_ACTIONS = frozenset({"WriteLog", "write_log", "_log"})
POLICY_LOG = ("state", "log")
PLACEHOLDER = "…"


def template(node: ast.expr) -> str:
    """The text of a log call, with a placeholder for each value."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return re.sub(r"%[-+0-9.]*[sdrfgx]", PLACEHOLDER, node.value)
    if isinstance(node, ast.JoinedStr):
        return "".join(
            template(part) if isinstance(part, ast.Constant) else PLACEHOLDER for part in node.values
        )
    if isinstance(node, ast.BinOp) and isinstance(node.op, ast.Add):
        return template(node.left) + template(node.right)
    return PLACEHOLDER


def writes_log(call: ast.Call) -> bool:
    """Whether a call writes a line to the log, or asks for it by an action."""
    function = call.func
    if isinstance(function, ast.Attribute):
        owner = function.value.id if isinstance(function.value, ast.Name) else ""
        is_logger = owner in LOGGERS and function.attr in LOG_METHODS
        return is_logger or function.attr in LOG_ACTIONS or (owner, function.attr) == POLICY_LOG
    return isinstance(function, ast.Name) and function.id in LOG_ACTIONS


def templates_of_source() -> Iterator[tuple[str, str]]:
    """Where each log line is written, and its template; those that only pass a text on are left out."""
    for path in sorted((ROOT / "balancer").rglob("*.py")):
        where = path.relative_to(ROOT / "balancer")
        if where.parts[0] in PACKAGES_WITHOUT_NODE:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not writes_log(node):
                continue
            texts = [template(argument) for argument in node.args]
            for text in texts:
                if re.search(r"[a-z]{2}", text) and " " in text:
                    yield str(where), text
                    break


def templates_of_page() -> list[str]:
    """The log lines of the page's tables: the first cell of each row, in backquotes."""
    page = (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")
    return re.findall(r"^\| `([^`]+)` \|", page, re.M)


def test_on_call_page_lists_each_log_line_of_the_source() -> None:
    listed = set(templates_of_page())
    missing = {f"{where}: {text}" for where, text in templates_of_source() if text not in listed}
    assert not missing, f"add to docs/on-call.md: {sorted(missing)}"


def test_on_call_page_lists_no_log_line_that_the_source_does_not_write() -> None:
    written = {text for _, text in templates_of_source()}
    stale = [text for text in templates_of_page() if text not in written]
    assert not stale, f"take out of docs/on-call.md: {stale}"


def test_on_call_page_lists_a_log_line_once() -> None:
    listed = templates_of_page()
    assert len(listed) == len(set(listed))
