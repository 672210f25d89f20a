"""The command that plays a script: what it prints, draws and returns. Real processes, a few seconds."""

from __future__ import annotations

import io
from pathlib import Path

import pytest

from dillport.lab import play
from dillport.lab import script as sc

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


def test_a_script_is_played_judged_and_drawn(tmp_path: Path) -> None:
    script, drawn, out = tmp_path / "s.toml", tmp_path / "p.svg", io.StringIO()
    script.write_text(SMALL.format(least=""))
    assert play.main(["play", str(script), "--report", str(drawn)], out) == 0
    text = out.getvalue()
    for part in ("1.00 s  kill n1", "small, seed 1:", "rule 4, no cold server is pushed over: kept",
                 "full service again"):  # fmt: skip
        assert part in text, text
    picture = drawn.read_text()
    assert picture.startswith("<?xml") and "</svg>" in picture
    assert play.main(["play", str(script), "--report", str(tmp_path / "no" / "p.svg")], out) == 2


def test_one_that_fails_is_cut_down(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    script, out = tmp_path / "s.toml", io.StringIO()
    script.write_text(SMALL.format(least="least = 0.9"))
    monkeypatch.setattr(sc.Played, "wrong", lambda self, least: ["n1 died"] * any(
        "n1" in one.names for one in self.strikes))  # fmt: skip
    assert play.main(["play", str(script), "--shrink"], out) == 1
    assert "1 of 2 faults are enough:\n    1.00 s  kill n1" in out.getvalue()


def test_what_makes_no_sense_is_said(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    script = tmp_path / "s.toml"
    script.write_text(SMALL.format(least="leest = 1"))
    assert play.main(["play", str(script)]) == 2
    assert "leest" in capsys.readouterr().err
    assert play.main(["play", str(tmp_path / "none.toml")]) == 2
    assert "none.toml: No such file" in capsys.readouterr().err
    for words in ([], ["play"], ["play", "herd", "--seeds", "0"], ["explode"]):
        with pytest.raises(SystemExit) as caught:
            play.main(words)
        assert caught.value.code == 2


def test_one_that_comes_with_the_package_goes_by_its_name(tmp_path: Path) -> None:
    assert play._found("herd") == play.SCRIPTS / "herd.toml"
    assert play._found(str(tmp_path)) == tmp_path
