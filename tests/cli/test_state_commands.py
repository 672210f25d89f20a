"""`state show|verify|clear` and `recovery` on the command line: what is printed, exit codes, the question."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from balancer.cli import main
from balancer.core.persistence.persisted_state import NodeIdentity, PersistedEndpoint
from balancer.net.admin_socket import AdminSocket
from balancer.store.store import Store


@pytest.fixture
def directory(tmp_path: Path) -> Path:
    """A directory that a node has left."""
    out = tmp_path / "state"
    out.mkdir()
    store = Store(str(out), lambda run: run())
    store.open()
    store.put("self", "node", NodeIdentity("an id", "n0", 3, 1_000))
    store.put("view", "s1", PersistedEndpoint("127.0.0.1", 80, started_at_ms=1.8e12, sources=("platform",)))
    assert store.close() == 0
    return out


def run_command(capsys: pytest.CaptureFixture[str], *words: str) -> tuple[int, str, str]:
    code = main(words)
    out, err = capsys.readouterr()
    return code, out, err


def test_show_and_verify(directory: Path, capsys: pytest.CaptureFixture[str]) -> None:
    here = ("--directory", str(directory))
    code, out, _ = run_command(capsys, "state", "show", "--json", *here)
    told = json.loads(out)
    assert code == 0 and told["node"]["incarnation"] == 3 and told["tables"] == {"self": 1, "view": 1}
    code, out, _ = run_command(capsys, "state", "show", *here)
    assert code == 0 and "node n0, life 3" in out and "memory kept" in out
    assert run_command(capsys, "state", "verify", *here) == (0, f"{directory}: no fault\n", "")
    for file in directory.glob("tables-*"):
        file.write_bytes(file.read_bytes()[:100])
    code, out, _ = run_command(capsys, "state", "verify", "--json", *here)
    assert code == 1 and json.loads(out)["faults"]


def test_clear_asks_first_and_takes_all_or_nothing(
    directory: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    words = ("state", "clear", "--directory", str(directory))
    before = sorted(directory.iterdir())
    monkeypatch.setattr("click.termui.visible_prompt_func", lambda text="": "n")
    assert run_command(capsys, *words)[0] == 1 and sorted(directory.iterdir()) == before

    def nobody(text: str = "") -> str:
        raise EOFError

    monkeypatch.setattr("click.termui.visible_prompt_func", nobody)
    code, _, err = run_command(capsys, *words)
    assert code == 2 and "--yes" in err and sorted(directory.iterdir()) == before
    held = Store(str(directory), lambda run: run())
    held.open()
    code, _, err = run_command(capsys, *words, "--yes")
    assert (
        code == 1 and "a node holds it" in err and run_command(capsys, "state", "verify", *words[2:])[0] == 1
    )
    held.close()
    code, out, _ = run_command(capsys, *words, "--yes", "--json")
    assert code == 0 and json.loads(out)["removed"] and not list(directory.glob("tables-*"))


def test_words_that_make_no_sense_are_2(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    code, _, err = run_command(capsys, "state", "show", "--directory", str(tmp_path / "none"))
    assert code == 2 and "No such file" in err
    code, _, err = run_command(capsys, "state", "show")
    assert code == 2 and "no [state] in the settings and no --directory" in err
    code, _, err = run_command(capsys, "recovery")
    assert code == 2 and "no [control]" in err
    assert run_command(capsys, "recovery", "--control", str(tmp_path / "none"))[0] == 1


@pytest.mark.parametrize("as_json", [True, False])
def test_recovery_prints_what_the_node_says(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], as_json: bool
) -> None:
    told: dict[str, Any] = {
        "state": "provisional",
        "since": 5,
        "incarnation": 2,
        "memory": "kept",
        "waits_for": ["a source"],
        "phases": [{"name": "imports", "ms": 20.0}],
        "store": {"directory": "/d", "open": True, "trouble": "it is full"},
    }

    async def test() -> tuple[int, str, str]:
        control = AdminSocket()
        control.register("recovery", lambda: told)
        await control.listen(tmp_path / "c.sock")
        words = ("recovery", "--control", str(tmp_path / "c.sock"), *(["--json"] if as_json else []))
        try:
            return await asyncio.to_thread(run_command, capsys, *words)
        finally:
            await control.close()

    code, out, _ = asyncio.run(test())
    assert code == 0
    if as_json:
        assert json.loads(out) == told
    else:
        for piece in ("provisional; memory kept, life 2", "waits for a source", "it is full", "imports"):
            assert piece in out
