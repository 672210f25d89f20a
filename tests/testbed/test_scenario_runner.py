"""The command that plays a script: what it prints, draws and returns. Real processes, a few seconds."""

from __future__ import annotations

import io
from pathlib import Path

import pytest

from balancer.cli import main
from balancer.cli import testbed as lab
from balancer.testbed import scenario as sc
from balancer.testbed import scenario_runner as play

SMALL = """
name = "small"
seconds = 3
rate = 60
nodes = 2
servers = 3
notice_s = 0.2
{least}
[[fault]]
at_s = 1
kind = "kill"
names = ["n1"]
[[fault]]
at_s = 1.2
kind = "slow"
names = ["s1"]
value = 1.5
"""


def test_a_script_is_played_judged_and_drawn(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    script, drawn = tmp_path / "s.toml", tmp_path / "p.svg"
    script.write_text(SMALL.format(least=""))
    assert main(["lab", "play", str(script), "--report", str(drawn)]) == 0
    text, looked_at = capsys.readouterr()
    assert looked_at == "", "nobody looks on"
    for part in (
        "1.00 s  kill n1",
        "small, seed 1:",
        "rule 4, no cold server is pushed over: kept",
        "full service again",
    ):
        assert part in text, text
    picture = drawn.read_text()
    assert picture.startswith("<?xml") and "</svg>" in picture
    assert main(["lab", "play", str(script), "--report", str(tmp_path / "no" / "p.svg")]) == 2


class Terminal(io.StringIO):
    """Somebody looks on."""

    def isatty(self) -> bool:
        return True


def test_a_terminal_gets_a_bar_that_moves_and_makes_way_for_lines(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("sys.stderr", terminal := Terminal())
    with lab._progress_printer(8.0) as (say, look):
        assert look is not None
        look(2.0)
        say("a fault")
        look(4.0)
    seen = terminal.getvalue()
    assert seen.index("25%") < seen.index("\r\x1b[K") < seen.index("50%")
    assert capsys.readouterr().out == "a fault\n"


def test_one_that_fails_is_cut_down(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    script = tmp_path / "s.toml"
    script.write_text(SMALL.format(least="least = 0.9"))
    monkeypatch.setattr(
        sc.Played, "wrong", lambda self, least: ["n1 died"] * any("n1" in one.names for one in self.strikes)
    )
    assert main(["lab", "play", str(script), "--shrink"]) == 1
    assert "1 of 2 faults are enough:\n    1.00 s  kill n1" in capsys.readouterr().out


def test_what_makes_no_sense_is_said(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    script = tmp_path / "s.toml"
    script.write_text(SMALL.format(least="leest = 1"))
    assert main(["lab", "play", str(script)]) == 2
    assert "leest" in capsys.readouterr().err
    assert main(["lab", "play", str(tmp_path / "none.toml")]) == 2
    assert "none.toml: No such file" in capsys.readouterr().err
    for words in ([], ["play"], ["play", "herd", "--seeds", "0"], ["explode"]):
        assert main(["lab", *words]) == 2


def test_one_that_comes_with_the_package_goes_by_its_name(tmp_path: Path) -> None:
    assert play.found("herd") == play.SCRIPTS / "herd.toml"
    assert play.found(str(tmp_path)) == tmp_path
