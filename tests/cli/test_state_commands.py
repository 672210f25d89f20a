"""Tests of `state show|verify|clear` and `recovery`: output, exit codes, the confirmation."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from balancer.cli import main
from balancer.core.persistence.persisted_state import NodeIdentity, PersistedEndpoint
from balancer.net.admin_socket import AdminSocket
from balancer.store.store import Store


@pytest.fixture
def directory(tmp_path: Path) -> Path:
    """A state directory as a node has left it."""
    path = tmp_path / "state"
    path.mkdir()
    store = Store(str(path), lambda run: run())
    store.open()
    store.put("self", "node", NodeIdentity("an id", "n0", 3, 1_000))
    store.put("view", "s1", PersistedEndpoint("127.0.0.1", 80, started_at_ms=1.8e12, sources=("platform",)))
    assert store.close() == 0
    return path


class CommandResult(NamedTuple):
    """Exit code and output of a command."""

    exit_code: int
    out: str
    err: str


def run_command(capsys: pytest.CaptureFixture[str], *arguments: str) -> CommandResult:
    exit_code = main(arguments)
    out, err = capsys.readouterr()
    return CommandResult(exit_code, out, err)


def test_state_show_and_verify_print_the_directory_and_its_faults(
    directory: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    directory_option = ("--directory", str(directory))
    code, out, _ = run_command(capsys, "state", "show", "--json", *directory_option)
    report = json.loads(out)
    assert code == 0 and report["node"]["incarnation"] == 3
    assert report["tables"] == {"self": 1, "view": 1}
    code, out, _ = run_command(capsys, "state", "show", *directory_option)
    assert code == 0 and "node n0, life 3" in out and "memory kept" in out
    assert run_command(capsys, "state", "verify", *directory_option) == (0, f"{directory}: no fault\n", "")
    for file in directory.glob("tables-*"):
        file.write_bytes(file.read_bytes()[:100])
    code, out, _ = run_command(capsys, "state", "verify", "--json", *directory_option)
    assert code == 1 and json.loads(out)["faults"]


def test_state_clear_asks_first_and_removes_all_or_nothing(
    directory: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    arguments = ("state", "clear", "--directory", str(directory))
    files_before = sorted(directory.iterdir())
    monkeypatch.setattr("click.termui.visible_prompt_func", lambda text="": "n")
    assert run_command(capsys, *arguments).exit_code == 1 and sorted(directory.iterdir()) == files_before

    def closed_input(text: str = "") -> str:
        raise EOFError

    monkeypatch.setattr("click.termui.visible_prompt_func", closed_input)
    code, _, err = run_command(capsys, *arguments)
    assert code == 2 and "--yes" in err and sorted(directory.iterdir()) == files_before
    open_store = Store(str(directory), lambda run: run())
    open_store.open()
    code, _, err = run_command(capsys, *arguments, "--yes")
    assert code == 1 and "a node holds it" in err
    assert run_command(capsys, "state", "verify", *arguments[2:]).exit_code == 1
    open_store.close()
    code, out, _ = run_command(capsys, *arguments, "--yes", "--json")
    assert code == 0 and json.loads(out)["removed"] and not list(directory.glob("tables-*"))


def test_state_commands_without_directory_or_node_exit_with_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    code, _, err = run_command(capsys, "state", "show", "--directory", str(tmp_path / "none"))
    assert code == 2 and "No such file" in err
    code, _, err = run_command(capsys, "state", "show")
    assert code == 2 and "no [state] in the settings and no --directory" in err
    code, _, err = run_command(capsys, "recovery")
    assert code == 2 and "no [control]" in err
    assert run_command(capsys, "recovery", "--control", str(tmp_path / "none")).exit_code == 1


@pytest.mark.parametrize("as_json", [True, False])
def test_recovery_prints_the_report_of_the_node(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], as_json: bool
) -> None:
    report: dict[str, Any] = {
        "state": "provisional",
        "since": 5,
        "incarnation": 2,
        "memory": "kept",
        "waits_for": ["a source"],
        "phases": [{"name": "imports", "ms": 20.0}],
        "store": {"directory": "/d", "open": True, "trouble": "it is full"},
    }

    async def test() -> CommandResult:
        control = AdminSocket()
        control.register("recovery", lambda: report)
        await control.listen(tmp_path / "c.sock")
        arguments = ("recovery", "--control", str(tmp_path / "c.sock"), *(["--json"] if as_json else []))
        try:
            return await asyncio.to_thread(run_command, capsys, *arguments)
        finally:
            await control.close()

    code, out, _ = asyncio.run(test())
    assert code == 0
    if as_json:
        assert json.loads(out) == report
    else:
        for piece in ("provisional; memory kept, life 2", "waits for a source", "it is full", "imports"):
            assert piece in out
