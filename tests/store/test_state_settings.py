"""Validation of the settings table `[state]` of the operators' file."""

from __future__ import annotations

from pathlib import Path

import pytest

from balancer.operator_settings import OperatorSettingsError, StateSettings, parse


def test_state_settings_several_faults_are_reported_at_once(tmp_path: Path) -> None:
    (tmp_path / "state").mkdir()
    (tmp_path / "file").write_text("")
    settings = parse({"state": {"directory": "state"}}, tmp_path).state
    assert (
        settings == StateSettings(directory=tmp_path / "state")
        and "believed for 86400 s" in settings.summary()
    )
    for invalid_directory in ("none", "file", "", 7, "x" * 5_000, "a\0b"):
        with pytest.raises(OperatorSettingsError) as caught:
            parse({"state": {"directory": invalid_directory, "max_age": 59, "every": True}}, tmp_path)
        paths = {fault.path for fault in caught.value.faults}
        assert paths == {"state.directory", "state.max_age", "state.every"}, invalid_directory
    with pytest.raises(OperatorSettingsError, match=r"state\.every: found 3600 s, over max_age"):
        parse({"state": {"directory": "state", "max_age": 60, "every": 3_600}}, tmp_path)
    with pytest.raises(OperatorSettingsError, match=r"state\.directory: found nothing"):
        parse({"state": {}}, tmp_path)
