"""Tests of the command line as a program: commands, exit codes, output, and queries of a running node."""

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
from balancer.cli import node as node_command
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


def run(coroutine_function: Callable[[], Awaitable[None]]) -> None:
    """Runs the coroutine of a test with a timeout."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(3 * WAIT):
            await coroutine_function()

    asyncio.run(run_with_timeout())


def run_program(*arguments: object, **env: object) -> subprocess.CompletedProcess[str]:
    """Runs the program with these arguments; `env` are additional environment variables."""
    environment = {
        k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "BALANCER_", "DILLPORT_"))
    }
    return subprocess.run(
        [sys.executable, "-B", "-m", "balancer", *map(str, arguments)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env=environment | {k: str(v) for k, v in env.items()},
        timeout=WAIT,
        check=False,
    )


@pytest.fixture
def config(tmp_path: Path) -> Path:
    """A valid configuration file."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration(SERVERS, 1)))
    return path


def write_file(path: Path, text: str) -> Path:
    """Writes a file and returns its path."""
    path.write_text(text)
    return path


def test_help_starts_nothing_and_names_commands_and_variables(config: Path) -> None:
    result = run_program("--help", PROXY_CONFIG=config)
    assert result.returncode == 0 and result.stderr == ""
    for expected in ("run", "check", "members", "demo", "--version", CONFIG, SETTINGS_VAR, "SIGHUP"):
        assert expected in result.stdout


@pytest.mark.parametrize("command", cli.COMMAND_MODULES)
def test_command_has_help_and_accepts_no_abbreviation(
    command: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main([command, "--help"]) == 0
    assert f"Usage: balancer {command} " in capsys.readouterr().out
    for arguments in ([command[:-1]], [command, "--hel"], [command, "--sett", "x"]):
        assert main(arguments) == 2
        assert "usage: balancer" in capsys.readouterr().err


def test_version_option_prints_the_package_version() -> None:
    assert run_program("--version").stdout == f"balancer {balancer.__version__}\n"
    pyproject = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    assert pyproject["tool"]["setuptools"]["dynamic"]["version"] == {"attr": "balancer.__version__"}
    assert pyproject["project"]["scripts"] == {
        "balancer": "balancer.__main__:main",
        "dillport": "balancer.__main__:main",
    }


def test_version_option_imports_no_node_modules() -> None:
    code = (
        "import sys; from balancer.cli import main; main(['--version']);"
        "sys.exit(bool({'uvloop', 'httptools', 'asyncio', 'ssl'} & set(sys.modules)))"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False).returncode == 0


@pytest.mark.parametrize("arguments", [(), ("check",), ("members",)])
def test_command_without_configuration_names_what_is_missing(arguments: tuple[str, ...]) -> None:
    result = run_program(*arguments)
    assert result.returncode == 2 and len(result.stderr.splitlines()) == 1
    for part in ("PROXY_CONFIG is missing", "the JSON file", "balancer --help"):
        assert part in result.stderr


@pytest.mark.parametrize("arguments", [("start",), ("run", "now"), ("check", "--json")])
def test_unknown_arguments_start_nothing(config: Path, arguments: tuple[str, ...]) -> None:
    result = run_program(*arguments, PROXY_CONFIG=config)
    assert result.returncode == 2 and "usage: balancer" in result.stderr and arguments[-1] in result.stderr


@pytest.mark.parametrize(
    ("arguments", "node"),
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
def test_parse_node_arguments_agrees_with_the_command_line(
    arguments: str, node: str | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """`node` is the settings file of the start; None: the arguments are left to the command line."""
    starts_node, settings = program.parse_node_arguments(arguments.split())
    assert (settings if starts_node else None) == node
    if starts_node:
        started: list[Path | None] = []

        def start(settings: Path | None, began: float, hung_up: list[int]) -> int:
            started.append(settings)
            return 0

        monkeypatch.setattr(node_command, "start_with_operator_settings", start)
        monkeypatch.setattr(program, "record_hangups", list)
        monkeypatch.delenv(SETTINGS_VAR, raising=False)
        assert main(arguments.split()) == 0 and started == [Path(node) if node else None]


def test_demo_passes_its_options_and_reports_a_missing_module(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    demo: Any = types.ModuleType("demo")

    async def played(out: object, *arguments: object) -> int:
        print(*arguments)
        return 3

    demo.demo = played
    monkeypatch.setitem(sys.modules, "balancer.testbed.demo", demo)
    assert main(["demo", "--seconds", "7", "--records", "no/x"]) == 3
    assert capsys.readouterr().out == "7.0 1 no/x\n"
    monkeypatch.setitem(sys.modules, "balancer.testbed.demo", None)
    assert main(["demo"]) == 2
    assert "there is no balancer.testbed.demo in this installation" in capsys.readouterr().err


def test_peers_without_a_node_fails(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--settings", str(write_file(tmp_path / "s.toml", "")), "peers"]) == 2
    assert "no [control]" in capsys.readouterr().err
    assert main(["peers", "--control", str(tmp_path / "x")]) == 1
    assert "no node answers there" in capsys.readouterr().err


def test_check_of_valid_files_prints_enabled_features(config: Path, tmp_path: Path) -> None:
    settings = write_file(
        tmp_path / "s.toml", f"[control]\nsocket = '{tmp_path}/c.sock'\n[membership.etcd]\n"
    )
    result = run_program("check", "--settings", settings, PROXY_CONFIG=config)
    assert (result.returncode, result.stderr) == (0, "")
    for part in (
        "2 servers known",
        "3 classes: read, pay, once",
        f"control: a control socket at {tmp_path}/c.sock",
        "membership.etcd: etcd at http://127.0.0.1:2379",
    ):
        assert part in result.stdout
    without_settings = run_program("check", PROXY_CONFIG=config)
    assert without_settings.returncode == 0 and "settings: none" in without_settings.stdout
    with_empty_settings = run_program(
        "check", PROXY_CONFIG=config, BALANCER_SETTINGS=write_file(tmp_path / "e.toml", "")
    )
    assert with_empty_settings.returncode == 0 and "nothing is on" in with_empty_settings.stdout


def test_check_of_invalid_files_names_every_fault(tmp_path: Path) -> None:
    document = configuration([{"id": "dns", "host_port": "a.example:1", "phase": "in_service"}], 1)
    document |= {"listen": "nowhere", "seed": "xyz"}
    document["settings"] |= {"group-size": 0, "zone": 4}
    config = write_file(tmp_path / "config.json", json.dumps(document))
    settings = write_file(tmp_path / "s.toml", "[control]\nsocket = 5\n[membership.etcd]\nepoch = -1\n")
    result = run_program("--settings", settings, "check", PROXY_CONFIG=config)
    assert result.returncode == 2
    fault_keys = ["settings: group-size", "settings: zone", "seed", "listen", "control.socket", "etcd.epoch"]
    lines = result.stderr.splitlines()
    assert len(lines) == len(fault_keys)
    for part in fault_keys:
        assert any(part in line for line in lines), part


def test_run_with_invalid_settings_exits_with_2(config: Path, tmp_path: Path) -> None:
    settings = write_file(tmp_path / "s.toml", "[controll]\n[membership.etcd]\nrole = 'x'\n")
    for arguments in (("--settings", settings), ("run", "--settings", settings)):
        result = run_program(*arguments, PROXY_CONFIG=config)
        assert result.returncode == 2 and len(result.stderr.splitlines()) == 2
        assert f"{settings}: controll: " in result.stderr and "membership.etcd.role" in result.stderr
    missing = run_program(PROXY_CONFIG=config, BALANCER_SETTINGS=tmp_path / "none.toml")
    assert missing.returncode == 2 and "none.toml': No such file" in missing.stderr


def test_deprecated_settings_variable_is_read_where_the_new_one_is_not_set(
    config: Path, tmp_path: Path
) -> None:
    old_file = write_file(tmp_path / "old.toml", f"[control]\nsocket = '{tmp_path}/old.sock'\n")
    new_file = write_file(tmp_path / "new.toml", f"[control]\nsocket = '{tmp_path}/new.sock'\n")
    with_old_only = run_program("check", PROXY_CONFIG=config, DILLPORT_SETTINGS=old_file)
    assert with_old_only.returncode == 0 and f"{tmp_path}/old.sock" in with_old_only.stdout
    with_both = run_program(
        "check", PROXY_CONFIG=config, DILLPORT_SETTINGS=old_file, BALANCER_SETTINGS=new_file
    )
    assert with_both.returncode == 0 and f"{tmp_path}/new.sock" in with_both.stdout


@pytest.mark.parametrize(
    ("new_name", "log_line"),
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
    new_name: str,
    log_line: str,
) -> None:
    def close(coroutine: Coroutine[Any, Any, None]) -> None:
        coroutine.close()

    monkeypatch.setattr("uvloop.run", close)
    monkeypatch.setenv("PROXY_CONFIG", str(config))
    monkeypatch.setenv("DILLPORT_SETTINGS", str(write_file(tmp_path / "old.toml", "")))
    if new_name:
        monkeypatch.setenv("BALANCER_SETTINGS", str(write_file(tmp_path / new_name, "")))
    with caplog.at_level("WARNING"):
        assert main(["run"]) == 0
    assert [record.getMessage() for record in caplog.records if "SETTINGS" in record.getMessage()] == [
        log_line
    ]


def test_members_without_a_node_lists_the_configuration(config: Path, tmp_path: Path) -> None:
    result = run_program("members", PROXY_CONFIG=config)
    assert result.returncode == 0
    table = [re.split(r"  +", line) for line in result.stdout.splitlines()]
    assert table == [
        ["ID", "ADDRESS", "PHASE", "ZONE", "WEIGHT", "BY CONFIGURATION"],
        ["s-1", "127.0.0.1:8001", "up", "a", "1.0", "up"],
        ["s-2", "[::1]:8002", "draining", "-", "1.0", "draining"],
        ["2 servers"],
    ]
    document = json.loads(run_program("members", "--json", PROXY_CONFIG=config).stdout)
    assert [m["id"] for m in document["members"]] == ["s-1", "s-2"] and document["faults"] == []
    settings = write_file(tmp_path / "s.toml", f"[control]\nsocket = '{tmp_path}/c.sock'\n")
    without_node = run_program("members", "--settings", settings, PROXY_CONFIG=config)
    assert without_node.returncode == 0 and "no node answers there" in without_node.stderr
    assert without_node.stdout == result.stdout


def test_members_of_a_socket_without_listener_exits_with_1(config: Path, tmp_path: Path) -> None:
    result = run_program("members", "--control", tmp_path / "c.sock", PROXY_CONFIG=config)
    assert result.returncode == 1 and result.stdout == "" and "no node answers there" in result.stderr


def test_members_escapes_control_characters(tmp_path: Path) -> None:
    document = configuration([{"id": "\x1b[2Jx", "host_port": "127.0.0.1:1", "phase": "in_service"}], 1)
    result = run_program("members", PROXY_CONFIG=write_file(tmp_path / "c.json", json.dumps(document)))
    assert "\x1b" not in result.stdout and r"'\x1b[2Jx'" in result.stdout


def test_check_escapes_unprintable_names_on_one_line(tmp_path: Path) -> None:
    """Names with control characters or half of a surrogate pair are escaped.

    Control characters would act on the terminal; half of a surrogate pair, legal in JSON, cannot be printed.
    """
    document = configuration([{"id": "\x1b[2Jx\ud800\nforged", "host_port": "no", "phase": "in_service"}], 1)
    document["name"] = "n\ud800\n0"
    result = run_program("check", PROXY_CONFIG=write_file(tmp_path / "c.json", json.dumps(document)))
    assert result.returncode == 0 and result.stderr == ""
    assert "\x1b" not in result.stdout and not any(
        line.startswith("forged") for line in result.stdout.splitlines()
    )
    assert r"the server '\x1b[2Jx\ud800\nforged' cannot be read" in result.stdout


def test_members_to_a_closed_pipe_prints_no_error(config: Path) -> None:
    result = subprocess.run(
        ["/bin/sh", "-c", f"{sys.executable} -B -m balancer members | true"],
        cwd=ROOT,
        env=os.environ | {"PROXY_CONFIG": str(config)},
        capture_output=True,
        check=False,
    )
    assert result.stderr == b""


def test_running_node_answers_members_and_reloads_settings_on_sighup(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    first_socket, second_socket = tmp_path / "1.sock", tmp_path / "2.sock"
    settings = write_file(tmp_path / "s.toml", f"[control]\nsocket = '{first_socket}'\n")
    monkeypatch.setenv("BALANCER_SETTINGS", str(settings))

    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            result = await asyncio.to_thread(run_program, "members", "--settings", settings)
            assert result.returncode == 0 and f"127.0.0.1:{backend.port}" in result.stdout
            assert "BY PLATFORM" in result.stdout and result.stderr == ""

            write_file(settings, "[control]\nsocket = 'here'\n[x]\n")
            rig.process.send_signal(signal.SIGHUP)
            await rig.logged(f"the old settings stay: {settings}: x: found an unknown key")
            await rig.logged("control.socket: found 'here'")
            document = json.loads(
                (await asyncio.to_thread(run_program, "members", "--control", first_socket, "--json")).stdout
            )
            assert [m["id"] for m in document["members"]] == ["b0"]

            write_file(settings, f"[control]\nsocket = '{second_socket}'\n[membership.etcd]\nepoch = 2\n")
            rig.process.send_signal(signal.SIGHUP)
            await rig.logged("membership.etcd is on: etcd at http://127.0.0.1:2379")
            await rig.logged(f"control.socket is {second_socket}, was {first_socket}")
            while first_socket.exists():
                await asyncio.sleep(0.01)
            assert (
                await asyncio.to_thread(run_program, "members", "--control", second_socket)
            ).returncode == 0

            rig.process.send_signal(signal.SIGHUP)
            await rig.logged("nothing changed")
            rig.terminate()
            assert await rig.end() == 0
        assert not second_socket.exists()

    run(test)


def test_node_serves_while_its_control_socket_is_taken_and_binds_it_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "c.sock"
    settings = write_file(tmp_path / "s.toml", f"[control]\nsocket = '{path}'\n")
    monkeypatch.setenv("BALANCER_SETTINGS", str(settings))

    async def test() -> None:
        with socket.socket(socket.AF_UNIX) as other_socket:
            other_socket.bind(str(path))
            other_socket.listen()
            backend = Backend("b0")
            async with running(tmp_path, backend) as rig:
                await rig.logged(f"control: {path}: a running process listens there")
                assert (await (await rig.client()).ask("/read")).body.startswith(b"b0")
                other_socket.close()
                while (
                    result := await asyncio.to_thread(run_program, "members", "--control", path)
                ).returncode:
                    await asyncio.sleep(0.1)
                assert "b0" in result.stdout

    run(test)
