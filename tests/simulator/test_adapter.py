"""The codec and the host loop."""

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
from balancer.policy import balancer as policy
from balancer.simulator import adapter as simhost
from balancer.simulator import wire
from tests.helpers import BOOT

LIST = "DIRECTORY_UPDATE disk 1 2\nENTRY 0 k 1.1.1.1:1 1 up - a\nENTRY - k 1.1.1.2:1 1.5 up 61.5 b\n"
START = f"SYNC 1000\nCONTEXT 0\nSTART 7 {BOOT}\n{LIST}GO\n"


ORDER = "ORDER ab 0 - 2001 - - read 0\n"


def run(text: str) -> str:
    out = io.StringIO()
    simhost.serve(io.StringIO(text), out)
    return out.getvalue()


def test_every_report_value_and_the_entry_fields() -> None:
    names = ("active", "waiting", "cpu", "avg_ms")
    assert wire.report("1,2,0.5,7.5", names) == api.LoadReport(1.0, 2.0, 0.5, 7.5)
    assert wire.report("3,4", ("rps", "err_rps")) == api.LoadReport(requests_per_s=3.0, errors_per_s=4.0)
    assert wire.report("9,1", ("new-value", "active")) == api.LoadReport(1.0)
    got = wire.entry("ENTRY 3 big 1.1.1.1:1 1.5 draining 61.5 b")
    assert got == api.Endpoint("1.1.1.1:1", "b", 3, 1.5, api.Phase.DRAINING, 61.5, "big")
    assert wire.list_update("DIRECTORY_UPDATE diff 41 2") == (
        api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [], 41),
        2,
    )


def test_every_event_line() -> None:
    names = ("waiting", "active")
    assert wire.event("WAKE 77", names) == api.TimerFired(77)
    assert wire.event("CANCELLED_BY_CLIENT ab", names) == api.ClientLeft("ab")
    assert wire.event("ACCEPTED ab 1 h:1 9.25", names) == api.StreamStarted("ab", 1, "h:1", 9.25)
    assert wire.event("HEARD 2 6869", names) == api.PeerMessageReceived(2, b"hi")
    assert wire.event("SAMPLED pass 1.4 h:1 3,-", names) == api.ProbeFinished(
        "h:1", api.AttemptStatus.OK, 1.4, api.LoadReport(None, 3.0)
    )
    assert wire.event("ORDER ab 0 - 2000.5 - - read 0", names) == api.RequestArrived("ab", "read", 2000.5)
    assert wire.event("ORDER ab 1 k:1 2000.5 t 12.5 read 1", names) == api.RequestArrived(
        "ab", "read", 2000.5, True, "k:1", "t", 12.5, True
    )
    words = ["pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"]
    for word, status in zip(words, api.AttemptStatus, strict=True):
        got = wire.event(f"RESOLVED ab 0 h:1 {word} 1 0 -", names)
        assert got == api.AttemptFinished("ab", 0, "h:1", status, 1.0, False, None)


def test_every_action_line() -> None:
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
    ("text", "named"),
    [
        ("HELLO\n", "expected SYNC"),
        ("SYNC x\nGO\n", "malformed line"),
        ("SYNC 1\nCONTEXT 3\nWAKE 1\nGO\n", "instance 3, which was never started"),
        ("SYNC 1\nCONTEXT 0\n", "input ended inside a batch"),
        (START + "SYNC 1001\nCONTEXT 0\nNONSENSE 1\nGO\n", "unknown message"),
        (START + "SYNC 1001\nCONTEXT 0\nORDER ab 0\nGO\n", "malformed line"),
        (START + "SYNC 1001\nCONTEXT 0\nDIRECTORY_UPDATE diff 2 1\nENTRY 0\nGO\n", "malformed list entry"),
        (START + "SYNC 1001\nCONTEXT 0\nDIRECTORY_UPDATE diff 2 -1\nGO\n", "malformed list update"),
        (START + "SYNC 1001\nCONTEXT 0\nDIRECTORY_UPDATE diff 2 many\nGO\n", "malformed list update"),
        (START + "SYNC 1001\nCONTEXT 0\nDIRECTORY_UPDATE diff 2 3\nGO\n", "malformed list entry"),
        (START + "SYNC 1001\nCONTEXT 0\nORDER ab 0 - nan - - read 0\nGO\n", "malformed line"),
        (START + "SYNC 1001\nCONTEXT 0\nSAMPLED pass 1 h:1 1,2,3\nGO\n", "malformed line"),
        ("SYNC nan\nGO\n", "malformed line"),
        (f"SYNC 1\nSTART 7 {BOOT}\nGO\n", "malformed line"),
        ("SYNC 1\nCONTEXT x\nGO\n", "malformed line"),
    ],
)
def test_bad_input_is_named(text: str, named: str) -> None:
    with pytest.raises(wire.WireError, match=named):
        run(text)


def test_bad_input_ends_the_process_with_one_line() -> None:
    got = subprocess.run(
        [sys.executable, "-m", "balancer.simulator.adapter"],
        input="HELLO\n",
        capture_output=True,
        text=True,
        check=False,
    )
    assert got.returncode == 2 and got.stderr.count("\n") == 1 and "Traceback" not in got.stderr


def test_the_deploy_file_builds_and_starts_the_adapter(tmp_path: Path) -> None:
    """As the operators do it: built once, then started by a shell from a tree that is not written to."""
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

    good = start(START + order)
    assert good.returncode == 0 and "PLACE ab" in good.stdout and good.stdout.count("FINISHED") == 2
    bad = start(START.replace("1000.0", "-1000.0", 1))
    assert bad.returncode == 2 and bad.stderr.count("\n") == 1
    assert "give-up" in bad.stderr and "-1000.0" in bad.stderr and "Traceback" not in bad.stderr
    subprocess.run(["chmod", "-R", "u+w", str(tmp_path)], check=True)


def test_odd_but_legal_rounds_are_no_error() -> None:
    head = START + "SYNC 1001\nCONTEXT 0\n"
    for body in (
        "RESOLVED ff 0 1.1.1.1:1 pass 1 1 -\nGO\n",
        "CANCELLED_BY_CLIENT ff\nWAKE 99\nACCEPTED ff 0 1.1.1.1:1 3\nHEARD 2 6869\nGO\n",
        "DIRECTORY_UPDATE snapshot 2 0\nORDER ab 0 - 2001 - - read 0\nGO\n",
        "ORDER ab 0 - 900 new-tenant - read 0\nGO\n",
        ORDER + "DIRECTORY_UPDATE snapshot 2 0\nRESOLVED ab 0 1.1.1.1:1 cut 1 0 -\nGO\n",
        f"DIRECTORY_UPDATE diff 2 1\nENTRY 4 z 9.9.9.9:9 1 up 5000 nowhere\n{ORDER}GO\n",
        "DIRECTORY_UPDATE diff 2 1\nENTRY 4 z 9.9.9.9:9 1 removed - nowhere\nGO\n",
    ):
        out = run(head + body)
        assert out.count("FINISHED") == 2 and "EXCEPTION" not in out, body


def test_stop_and_start_in_one_batch_begin_afresh() -> None:
    text = START + f"SYNC 1001\nCONTEXT 0\nORDER ab 0 - 2001 - - read 0\nSTOP\nSTART 8 {BOOT}\n{LIST}GO\n"
    out = run(text + "SYNC 1002\nCONTEXT 0\nRESOLVED ab 0 1.1.1.1:1 pass 1 1 -\nGO\n")
    assert out.count("FINISHED") == 3 and "EXCEPTION" not in out


def test_broken_decision_code_is_declared(monkeypatch: pytest.MonkeyPatch) -> None:
    def boom(*_: object) -> None:
        raise IndexError("off the end")

    monkeypatch.setattr(policy.Balancer, "handle", boom)
    assert "EXCEPTION IndexError: off the end" in run(START)


def _script() -> str:
    lines = []
    for i in range(60):
        lines.append(f"SYNC {1001 + i}")
        for who in (0, 1):
            lines += [f"CONTEXT {who}", f"ORDER {i:016x} 0 - {2001 + i} - - read 0"]
        lines.append("GO")
    starts = "".join(f"CONTEXT {who}\nSTART {who + 5} {BOOT}\n{LIST}" for who in (0, 1))
    return f"SYNC 1000\n{starts}GO\n" + "\n".join(lines) + "\n"


def test_same_events_same_actions_under_any_hash_seed() -> None:
    outs = {
        subprocess.run(
            [sys.executable, "-m", "balancer.simulator.adapter"],
            input=_script(),
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": str(Path(__file__).parents[2])},
        ).stdout
        for seed in ("0", "1", "77")
    }
    assert len(outs) == 1


def test_instances_act_alike_alone_and_together() -> None:
    def only(text: str, who: int) -> str:
        keep, mine = [], True
        for line in text.splitlines():
            word = line.split(" ")[0]
            if word in ("SYNC", "GO"):
                mine = True
            elif word == "CONTEXT":
                mine = line == f"CONTEXT {who}"
            if mine:
                keep.append(line)
        return "\n".join(keep) + "\n"

    def acts(text: str, who: int) -> list[str]:
        out, speaking = [], -1
        for line in text.splitlines():
            if line.startswith("SPEAKING"):
                speaking = int(line.split(" ")[1])
            elif line != "FINISHED" and speaking == who:
                out.append(line)
        return out

    both = run(_script())
    for who in (0, 1):
        assert acts(run(only(_script(), who)), who) == acts(both, who)
