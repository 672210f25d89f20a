"""The simulator's line protocol, and the adapter that runs the decision module on it."""

from __future__ import annotations

import io
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from balancer import interface as api
from balancer.policy import balancer as balancer_module
from balancer.simulator import adapter, wire
from tests.helpers import BOOT

LIST = "DIRECTORY_UPDATE disk 1 2\nENTRY 0 k 1.1.1.1:1 1 up - a\nENTRY - k 1.1.1.2:1 1.5 up 61.5 b\n"
START_BATCH = f"SYNC 1000\nCONTEXT 0\nSTART 7 {BOOT}\n{LIST}GO\n"
ORDER_LINE = "ORDER ab 0 - 2001 - - read 0\n"


def run(text: str) -> str:
    output = io.StringIO()
    adapter.serve(io.StringIO(text), output)
    return output.getvalue()


def test_parse_load_report_and_entry_every_field_is_parsed() -> None:
    names = ("active", "waiting", "cpu", "avg_ms")
    assert wire.parse_load_report("1,2,0.5,7.5", names) == api.LoadReport(1.0, 2.0, 0.5, 7.5)
    assert wire.parse_load_report("3,4", ("rps", "err_rps")) == api.LoadReport(
        requests_per_s=3.0, errors_per_s=4.0
    )
    assert wire.parse_load_report("9,1", ("new-value", "active")) == api.LoadReport(1.0)
    result = wire.parse_entry("ENTRY 3 big 1.1.1.1:1 1.5 draining 61.5 b")
    assert result == api.Endpoint("1.1.1.1:1", "b", 3, 1.5, api.Phase.DRAINING, 61.5, "big")
    assert wire.parse_list_update("DIRECTORY_UPDATE diff 41 2") == (
        api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [], 41),
        2,
    )


def test_parse_event_every_kind_is_parsed() -> None:
    names = ("waiting", "active")
    assert wire.parse_event("WAKE 77", names) == api.TimerFired(77)
    assert wire.parse_event("CANCELLED_BY_CLIENT ab", names) == api.ClientLeft("ab")
    assert wire.parse_event("ACCEPTED ab 1 h:1 9.25", names) == api.StreamStarted("ab", 1, "h:1", 9.25)
    assert wire.parse_event("HEARD 2 6869", names) == api.PeerMessageReceived(2, b"hi")
    assert wire.parse_event("SAMPLED pass 1.4 h:1 3,-", names) == api.ProbeFinished(
        "h:1", api.AttemptStatus.OK, 1.4, api.LoadReport(None, 3.0)
    )
    assert wire.parse_event("ORDER ab 0 - 2000.5 - - read 0", names) == api.RequestArrived(
        "ab", "read", 2000.5
    )
    assert wire.parse_event("ORDER ab 1 k:1 2000.5 t 12.5 read 1", names) == api.RequestArrived(
        "ab", "read", 2000.5, True, "k:1", "t", 12.5, True
    )
    words = ["pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"]
    for word, status in zip(words, api.AttemptStatus, strict=True):
        result = wire.parse_event(f"RESOLVED ab 0 h:1 {word} 1 0 -", names)
        assert result == api.AttemptFinished("ab", 0, "h:1", status, 1.0, False, None)


def test_action_every_kind_is_formatted() -> None:
    assert wire.action(api.SendAttempt("ab", "h:1", 80.0)) == "PLACE ab 80.0 h:1"
    assert wire.action(api.RejectRequest("ab", 250.0)) == "PUSH_BACK ab 250.0"
    assert wire.action(api.FailRequest("ab")) == "SURRENDER ab"
    assert wire.action(api.CancelAttempt("ab", 1)) == "ABANDON ab 1"
    assert wire.action(api.SetTimer(8912.25, 7)) == "NOTIFY_ME 8912.25 7"
    assert wire.action(api.SendProbe("h:1")) == "INSPECT h:1"
    assert wire.action(api.SubscribeToEndpoints()) == "TAIL 1"
    assert wire.action(api.SubscribeToEndpoints(False)) == "TAIL 0"
    assert wire.action(api.FetchSnapshot()) == "LIST_ALL"
    assert wire.action(api.CloseIdleConnections("h:1")) == "SHUT_IDLE h:1"
    assert wire.action(api.SendPeerMessage(None, b"hi")) == "WRITE_PEER all 6869"
    assert wire.action(api.SendPeerMessage(3, b"")) == "WRITE_PEER 3 -"
    assert wire.action(api.WriteLog("two\nlines")) == "LOG two lines"


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("HELLO\n", "expected SYNC"),
        ("SYNC x\nGO\n", "malformed line"),
        ("SYNC 1\nCONTEXT 3\nWAKE 1\nGO\n", "instance 3, which was never started"),
        ("SYNC 1\nCONTEXT 0\n", "input ended inside a batch"),
        (START_BATCH + "SYNC 1001\nCONTEXT 0\nNONSENSE 1\nGO\n", "unknown message"),
        (START_BATCH + "SYNC 1001\nCONTEXT 0\nORDER ab 0\nGO\n", "malformed line"),
        (
            START_BATCH + "SYNC 1001\nCONTEXT 0\nDIRECTORY_UPDATE diff 2 1\nENTRY 0\nGO\n",
            "malformed list entry",
        ),
        (START_BATCH + "SYNC 1001\nCONTEXT 0\nDIRECTORY_UPDATE diff 2 -1\nGO\n", "malformed list update"),
        (START_BATCH + "SYNC 1001\nCONTEXT 0\nDIRECTORY_UPDATE diff 2 many\nGO\n", "malformed list update"),
        (START_BATCH + "SYNC 1001\nCONTEXT 0\nDIRECTORY_UPDATE diff 2 3\nGO\n", "malformed list entry"),
        (START_BATCH + "SYNC 1001\nCONTEXT 0\nORDER ab 0 - nan - - read 0\nGO\n", "malformed line"),
        (START_BATCH + "SYNC 1001\nCONTEXT 0\nSAMPLED pass 1 h:1 1,2,3\nGO\n", "malformed line"),
        ("SYNC nan\nGO\n", "malformed line"),
        (f"SYNC 1\nSTART 7 {BOOT}\nGO\n", "malformed line"),
        ("SYNC 1\nCONTEXT x\nGO\n", "malformed line"),
    ],
)
def test_serve_invalid_line_is_named(text: str, expected_error: str) -> None:
    with pytest.raises(wire.WireError, match=expected_error):
        run(text)


def test_adapter_invalid_input_ends_the_process_with_one_line() -> None:
    result = subprocess.run(
        [sys.executable, "-m", "balancer.simulator.adapter"],
        input="HELLO\n",
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 2 and result.stderr.count("\n") == 1 and "Traceback" not in result.stderr


def test_adapter_is_built_and_started_by_the_deploy_file(tmp_path: Path) -> None:
    """Built once, then started by a shell from a read-only tree, as operators do it."""
    root = Path(__file__).parents[2]
    for name in ("balancer", "deploy", "requirements.txt"):
        source = root / name
        if source.is_dir():
            shutil.copytree(source, tmp_path / name, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, tmp_path / name)
    deploy = tomllib.loads((tmp_path / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    assert deploy["policy"][0] == "balancer/policy/balancer.py"
    assert all((tmp_path / name).is_file() for name in deploy["policy"])
    subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=tmp_path, check=True)
    subprocess.run(["chmod", "-R", "a-w", str(tmp_path)], check=True)
    env = {"PATH": os.environ["PATH"], "TMPDIR": str(tmp_path)}
    order = "SYNC 1001\nCONTEXT 0\nORDER ab 0 - 2001 - - read 0\nGO\n"

    def start(text: str) -> subprocess.CompletedProcess[str]:
        command = ["/bin/sh", "-c", deploy["sim"]]
        return subprocess.run(
            command, input=text, cwd=tmp_path, env=env, capture_output=True, text=True, check=False
        )

    valid = start(START_BATCH + order)
    assert valid.returncode == 0 and "PLACE ab" in valid.stdout and valid.stdout.count("FINISHED") == 2
    invalid = start(START_BATCH.replace("1000.0", "-1000.0", 1))
    assert invalid.returncode == 2 and invalid.stderr.count("\n") == 1
    assert "give-up" in invalid.stderr and "-1000.0" in invalid.stderr and "Traceback" not in invalid.stderr
    subprocess.run(["chmod", "-R", "u+w", str(tmp_path)], check=True)


def test_serve_unusual_but_valid_batches_raise_nothing() -> None:
    first_lines = START_BATCH + "SYNC 1001\nCONTEXT 0\n"
    for body in (
        "RESOLVED ff 0 1.1.1.1:1 pass 1 1 -\nGO\n",
        "CANCELLED_BY_CLIENT ff\nWAKE 99\nACCEPTED ff 0 1.1.1.1:1 3\nHEARD 2 6869\nGO\n",
        "DIRECTORY_UPDATE snapshot 2 0\nORDER ab 0 - 2001 - - read 0\nGO\n",
        "ORDER ab 0 - 900 new-tenant - read 0\nGO\n",
        ORDER_LINE + "DIRECTORY_UPDATE snapshot 2 0\nRESOLVED ab 0 1.1.1.1:1 cut 1 0 -\nGO\n",
        f"DIRECTORY_UPDATE diff 2 1\nENTRY 4 z 9.9.9.9:9 1 up 5000 nowhere\n{ORDER_LINE}GO\n",
        "DIRECTORY_UPDATE diff 2 1\nENTRY 4 z 9.9.9.9:9 1 removed - nowhere\nGO\n",
    ):
        output = run(first_lines + body)
        assert output.count("FINISHED") == 2 and "EXCEPTION" not in output, body


def test_serve_stop_and_start_in_one_batch_resets_the_instance() -> None:
    text = (
        START_BATCH + f"SYNC 1001\nCONTEXT 0\nORDER ab 0 - 2001 - - read 0\nSTOP\nSTART 8 {BOOT}\n{LIST}GO\n"
    )
    output = run(text + "SYNC 1002\nCONTEXT 0\nRESOLVED ab 0 1.1.1.1:1 pass 1 1 -\nGO\n")
    assert output.count("FINISHED") == 3 and "EXCEPTION" not in output


def test_serve_exception_of_the_module_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(*_: object) -> None:
        raise IndexError("off the end")

    monkeypatch.setattr(balancer_module.Balancer, "handle", raise_error)
    assert "EXCEPTION IndexError: off the end" in run(START_BATCH)


def make_script() -> str:
    lines = []
    for i in range(60):
        lines.append(f"SYNC {1001 + i}")
        for instance_id in (0, 1):
            lines += [f"CONTEXT {instance_id}", f"ORDER {i:016x} 0 - {2001 + i} - - read 0"]
        lines.append("GO")
    starts = "".join(
        f"CONTEXT {instance_id}\nSTART {instance_id + 5} {BOOT}\n{LIST}" for instance_id in (0, 1)
    )
    return f"SYNC 1000\n{starts}GO\n" + "\n".join(lines) + "\n"


def test_adapter_actions_are_independent_of_the_hash_seed() -> None:
    outputs = {
        subprocess.run(
            [sys.executable, "-m", "balancer.simulator.adapter"],
            input=make_script(),
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": str(Path(__file__).parents[2])},
        ).stdout
        for seed in ("0", "1", "77")
    }
    assert len(outputs) == 1


def test_serve_instances_are_independent_of_each_other() -> None:
    def lines_of_instance(text: str, instance_id: int) -> str:
        kept_lines, is_kept = [], True
        for line in text.splitlines():
            message_type = line.split(" ")[0]
            if message_type in ("SYNC", "GO"):
                is_kept = True
            elif message_type == "CONTEXT":
                is_kept = line == f"CONTEXT {instance_id}"
            if is_kept:
                kept_lines.append(line)
        return "\n".join(kept_lines) + "\n"

    def actions_of_instance(text: str, instance_id: int) -> list[str]:
        action_lines, speaker_id = [], -1
        for line in text.splitlines():
            if line.startswith("SPEAKING"):
                speaker_id = int(line.split(" ")[1])
            elif line != "FINISHED" and speaker_id == instance_id:
                action_lines.append(line)
        return action_lines

    joint_output = run(make_script())
    for instance_id in (0, 1):
        assert actions_of_instance(
            run(lines_of_instance(make_script(), instance_id)), instance_id
        ) == actions_of_instance(joint_output, instance_id)
