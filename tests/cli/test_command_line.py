"""The command line as a program of its own: words, exit codes, prints, what a running node tells."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tomllib
import types
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

import balancer
from balancer import __main__ as program
from balancer import cli
from balancer.cli import SETTINGS_VAR, main
from balancer.cli import node as node_word
from balancer.net.config import CONFIG
from tests.sockets import (
    ROOT,
    WAIT,
    Backend,
    configuration,
    running,
)

SERVERS: list[dict[str, Any]] = [
    {"id": "s-1", "host_port": "127.0.0.1:8001", "phase": "in_service", "locality": "a"},
    {"id": "s-2", "host_port": "[::1]:8002", "phase": "terminating"},
]


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test's coroutine, with an end to it."""

    async def bounded() -> None:
        async with asyncio.timeout(3 * WAIT):
            await test()

    asyncio.run(bounded())


def says(*words: object, **env: object) -> subprocess.CompletedProcess[str]:
    """The program's output for these words; `env` are further variables."""
    bare = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "BALANCER_", "DILLPORT_"))}
    return subprocess.run(
        [sys.executable, "-B", "-m", "balancer", *map(str, words)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env=bare | {k: str(v) for k, v in env.items()},
        timeout=WAIT,
        check=False,
    )


@pytest.fixture
def config(tmp_path: Path) -> Path:
    """A configuration file that makes sense."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration(SERVERS, 1)))
    return path


def written(path: Path, text: str) -> Path:
    """A file with this text."""
    path.write_text(text)
    return path


def test_help_starts_nothing_and_names_every_word(config: Path) -> None:
    got = says("--help", PROXY_CONFIG=config)
    assert got.returncode == 0 and got.stderr == ""
    for word in ("run", "check", "members", "demo", "--version", CONFIG, SETTINGS_VAR, "SIGHUP"):
        assert word in got.stdout


@pytest.mark.parametrize("word", cli.COMMAND_MODULES)
def test_each_word_has_a_help_and_takes_no_abbreviation(
    word: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main([word, "--help"]) == 0
    assert f"Usage: balancer {word} " in capsys.readouterr().out
    for words in ([word[:-1]], [word, "--hel"], [word, "--sett", "x"]):
        assert main(words) == 2
        assert "usage: balancer" in capsys.readouterr().err


def test_version_is_the_packages() -> None:
    assert says("--version").stdout == f"balancer {balancer.__version__}\n"
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    assert project["tool"]["setuptools"]["dynamic"]["version"] == {"attr": "balancer.__version__"}
    assert project["project"]["scripts"] == {
        "balancer": "balancer.__main__:main",
        "dillport": "balancer.__main__:main",
    }


def test_words_that_need_no_node_import_none() -> None:
    code = (
        "import sys; from balancer.cli import main; main(['--version']);"
        "sys.exit(bool({'uvloop', 'httptools', 'asyncio', 'ssl'} & set(sys.modules)))"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False).returncode == 0


@pytest.mark.parametrize("words", [(), ("check",), ("members",)])
def test_without_a_configuration_the_error_says_what_is_missing(words: tuple[str, ...]) -> None:
    got = says(*words)
    assert got.returncode == 2 and len(got.stderr.splitlines()) == 1
    for part in ("PROXY_CONFIG is missing", "the JSON file", "balancer --help"):
        assert part in got.stderr


@pytest.mark.parametrize("words", [("start",), ("run", "now"), ("check", "--json")])
def test_unknown_words_start_nothing(config: Path, words: tuple[str, ...]) -> None:
    got = says(*words, PROXY_CONFIG=config)
    assert got.returncode == 2 and "usage: balancer" in got.stderr and words[-1] in got.stderr


@pytest.mark.parametrize(
    ("words", "node"),
    [
        ("", ""),
        ("run", ""),
        ("--settings a", "a"),
        ("run --settings a", "a"),
        ("--settings a run", "a"),
        ("--settings a run --settings b", "b"),
        ("--settings run", "run"),
        ("check", None),
        ("run run", None),
        ("--settings", None),
        ("--settings --json", None),
        ("run --help", None),
        ("--settings=a", None),
        ("--settings a check", None),
        ("run a", None),
        ("--version", None),
    ],
)
def test_a_start_is_told_from_the_other_words_as_the_command_line_does(
    words: str, node: str | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """`node` is the file it is started with; None: these words are left to the command line."""
    starts, settings = program.parse_node_arguments(words.split())
    assert (settings if starts else None) == node
    if starts:
        started: list[Path | None] = []

        def start(settings: Path | None, began: float, hung_up: list[int]) -> int:
            started.append(settings)
            return 0

        monkeypatch.setattr(node_word, "start_with_operator_settings", start)
        monkeypatch.setattr(program, "record_hangups", list)
        monkeypatch.delenv(SETTINGS_VAR, raising=False)
        assert main(words.split()) == 0 and started == [Path(node) if node else None]


def test_demo_gets_its_words(monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]) -> None:
    demo: Any = types.ModuleType("demo")

    async def played(out: object, *words: object) -> int:
        print(*words)
        return 3

    demo.demo = played
    monkeypatch.setitem(sys.modules, "balancer.testbed.demo", demo)
    assert main(["demo", "--seconds", "7", "--records", "no/x"]) == 3
    assert capsys.readouterr().out == "7.0 1 no/x\n"
    monkeypatch.setitem(sys.modules, "balancer.testbed.demo", None)
    assert main(["demo"]) == 2
    assert "there is no balancer.testbed.demo in this installation" in capsys.readouterr().err


def test_peers_need_a_node_to_ask(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--settings", str(written(tmp_path / "s.toml", "")), "peers"]) == 2
    assert "no [control]" in capsys.readouterr().err
    assert main(["peers", "--control", str(tmp_path / "x")]) == 1
    assert "no node answers there" in capsys.readouterr().err


def test_check_says_what_is_on(config: Path, tmp_path: Path) -> None:
    settings = written(tmp_path / "s.toml", f"[control]\nsocket = '{tmp_path}/c.sock'\n[membership.etcd]\n")
    got = says("check", "--settings", settings, PROXY_CONFIG=config)
    assert (got.returncode, got.stderr) == (0, "")
    for part in (
        "2 servers known",
        "3 classes: read, pay, once",
        f"control: a control socket at {tmp_path}/c.sock",
        "membership.etcd: etcd at http://127.0.0.1:2379",
    ):
        assert part in got.stdout
    bare = says("check", PROXY_CONFIG=config)
    assert bare.returncode == 0 and "settings: none" in bare.stdout
    empty = says("check", PROXY_CONFIG=config, BALANCER_SETTINGS=written(tmp_path / "e.toml", ""))
    assert empty.returncode == 0 and "nothing is on" in empty.stdout


def test_check_names_every_fault_of_both_files(tmp_path: Path) -> None:
    told = configuration([{"id": "dns", "host_port": "a.example:1", "phase": "in_service"}], 1)
    told |= {"listen": "nowhere", "seed": "xyz"}
    told["settings"] |= {"group-size": 0, "zone": 4}
    config = written(tmp_path / "config.json", json.dumps(told))
    settings = written(tmp_path / "s.toml", "[control]\nsocket = 5\n[membership.etcd]\nepoch = -1\n")
    got = says("--settings", settings, "check", PROXY_CONFIG=config)
    assert got.returncode == 2
    named = ["settings: group-size", "settings: zone", "seed", "listen", "control.socket", "etcd.epoch"]
    lines = got.stderr.splitlines()
    assert len(lines) == len(named)
    for part in named:
        assert any(part in line for line in lines), part


def test_faults_of_the_settings_end_a_start(config: Path, tmp_path: Path) -> None:
    settings = written(tmp_path / "s.toml", "[controll]\n[membership.etcd]\nrole = 'x'\n")
    for words in (("--settings", settings), ("run", "--settings", settings)):
        got = says(*words, PROXY_CONFIG=config)
        assert got.returncode == 2 and len(got.stderr.splitlines()) == 2
        assert f"{settings}: controll: " in got.stderr and "membership.etcd.role" in got.stderr
    missing = says(PROXY_CONFIG=config, BALANCER_SETTINGS=tmp_path / "none.toml")
    assert missing.returncode == 2 and "none.toml': No such file" in missing.stderr


def test_deprecated_settings_variable_is_read_where_the_new_one_is_not_set(
    config: Path, tmp_path: Path
) -> None:
    old = written(tmp_path / "old.toml", f"[control]\nsocket = '{tmp_path}/old.sock'\n")
    new = written(tmp_path / "new.toml", f"[control]\nsocket = '{tmp_path}/new.sock'\n")
    alone = says("check", PROXY_CONFIG=config, DILLPORT_SETTINGS=old)
    assert alone.returncode == 0 and f"{tmp_path}/old.sock" in alone.stdout
    both = says("check", PROXY_CONFIG=config, DILLPORT_SETTINGS=old, BALANCER_SETTINGS=new)
    assert both.returncode == 0 and f"{tmp_path}/new.sock" in both.stdout


@pytest.mark.parametrize(
    ("new", "said"),
    [
        ("", "settings: DILLPORT_SETTINGS is deprecated: set BALANCER_SETTINGS instead"),
        ("new.toml", "settings: DILLPORT_SETTINGS is ignored: BALANCER_SETTINGS is set"),
    ],
)
def test_deprecated_settings_variable_is_named_in_one_log_line(
    config: Path,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    new: str,
    said: str,
) -> None:
    def close(work: Coroutine[Any, Any, None]) -> None:
        work.close()

    monkeypatch.setattr("uvloop.run", close)
    monkeypatch.setenv("PROXY_CONFIG", str(config))
    monkeypatch.setenv("DILLPORT_SETTINGS", str(written(tmp_path / "old.toml", "")))
    if new:
        monkeypatch.setenv("BALANCER_SETTINGS", str(written(tmp_path / new, "")))
    with caplog.at_level("WARNING"):
        assert main(["run"]) == 0
    assert [row.getMessage() for row in caplog.records if "SETTINGS" in row.getMessage()] == [said]


def test_members_from_the_files_alone(config: Path, tmp_path: Path) -> None:
    got = says("members", PROXY_CONFIG=config)
    assert got.returncode == 0
    table = [re.split(r"  +", line) for line in got.stdout.splitlines()]
    assert table == [
        ["ID", "ADDRESS", "PHASE", "ZONE", "WEIGHT", "BY CONFIGURATION"],
        ["s-1", "127.0.0.1:8001", "up", "a", "1.0", "up"],
        ["s-2", "[::1]:8002", "draining", "-", "1.0", "draining"],
        ["2 servers"],
    ]
    told = json.loads(says("members", "--json", PROXY_CONFIG=config).stdout)
    assert [m["id"] for m in told["members"]] == ["s-1", "s-2"] and told["faults"] == []
    settings = written(tmp_path / "s.toml", f"[control]\nsocket = '{tmp_path}/c.sock'\n")
    silent = says("members", "--settings", settings, PROXY_CONFIG=config)
    assert silent.returncode == 0 and "no node answers there" in silent.stderr
    assert silent.stdout == got.stdout


def test_members_of_a_socket_that_nobody_answers(config: Path, tmp_path: Path) -> None:
    got = says("members", "--control", tmp_path / "c.sock", PROXY_CONFIG=config)
    assert got.returncode == 1 and got.stdout == "" and "no node answers there" in got.stderr


def test_what_a_list_holds_cannot_move_the_terminal(tmp_path: Path) -> None:
    told = configuration([{"id": "\x1b[2Jx", "host_port": "127.0.0.1:1", "phase": "in_service"}], 1)
    got = says("members", PROXY_CONFIG=written(tmp_path / "c.json", json.dumps(told)))
    assert "\x1b" not in got.stdout and r"'\x1b[2Jx'" in got.stdout


def test_check_shows_odd_names_on_one_line_as_they_are_written(tmp_path: Path) -> None:
    """Guards the terminal, and the command: half of a surrogate pair, legal in JSON, cannot be printed."""
    told = configuration([{"id": "\x1b[2Jx\ud800\nforged", "host_port": "no", "phase": "in_service"}], 1)
    told["name"] = "n\ud800\n0"
    got = says("check", PROXY_CONFIG=written(tmp_path / "c.json", json.dumps(told)))
    assert got.returncode == 0 and got.stderr == ""
    assert "\x1b" not in got.stdout and not any(line.startswith("forged") for line in got.stdout.splitlines())
    assert r"the server '\x1b[2Jx\ud800\nforged' cannot be read" in got.stdout


def test_a_reader_that_leaves_early_is_no_trouble(config: Path) -> None:
    got = subprocess.run(
        ["/bin/sh", "-c", f"{sys.executable} -B -m balancer members | true"],
        cwd=ROOT,
        env=os.environ | {"PROXY_CONFIG": str(config)},
        capture_output=True,
        check=False,
    )
    assert got.stderr == b""


def test_a_running_node_tells_its_members_and_reads_its_settings_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    one, two = tmp_path / "1.sock", tmp_path / "2.sock"
    settings = written(tmp_path / "s.toml", f"[control]\nsocket = '{one}'\n")
    monkeypatch.setenv("BALANCER_SETTINGS", str(settings))

    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            got = await asyncio.to_thread(says, "members", "--settings", settings)
            assert got.returncode == 0 and f"127.0.0.1:{backend.port}" in got.stdout
            assert "BY PLATFORM" in got.stdout and got.stderr == ""

            written(settings, "[control]\nsocket = 'here'\n[x]\n")
            rig.process.send_signal(signal.SIGHUP)
            await rig.logged(f"the old settings stay: {settings}: x: found an unknown key")
            await rig.logged("control.socket: found 'here'")
            told = json.loads((await asyncio.to_thread(says, "members", "--control", one, "--json")).stdout)
            assert [m["id"] for m in told["members"]] == ["b0"]

            written(settings, f"[control]\nsocket = '{two}'\n[membership.etcd]\nepoch = 2\n")
            rig.process.send_signal(signal.SIGHUP)
            await rig.logged("membership.etcd is on: etcd at http://127.0.0.1:2379")
            await rig.logged(f"control.socket is {two}, was {one}")
            while one.exists():
                await asyncio.sleep(0.01)
            assert (await asyncio.to_thread(says, "members", "--control", two)).returncode == 0

            rig.process.send_signal(signal.SIGHUP)
            await rig.logged("nothing changed")
            rig.terminate()
            assert await rig.end() == 0
        assert not two.exists()

    run(test)


def test_a_node_serves_while_another_holds_its_control_socket_and_takes_it_then(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "c.sock"
    settings = written(tmp_path / "s.toml", f"[control]\nsocket = '{path}'\n")
    monkeypatch.setenv("BALANCER_SETTINGS", str(settings))

    async def test() -> None:
        with socket.socket(socket.AF_UNIX) as other:
            other.bind(str(path))
            other.listen()
            backend = Backend("b0")
            async with running(tmp_path, backend) as rig:
                await rig.logged(f"control: {path}: a running process listens there")
                assert (await (await rig.client()).ask("/read")).body.startswith(b"b0")
                other.close()
                while (got := await asyncio.to_thread(says, "members", "--control", path)).returncode:
                    await asyncio.sleep(0.1)
                assert "b0" in got.stdout

    run(test)
