"""The digest of settings that nodes compare is that of the version before the renaming."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from balancer import platform_settings
from balancer.core.cluster.configuration_digest import (
    NODE_FIELDS,
    OPERATOR_NODE_FIELDS,
    configuration_digest,
)
from balancer.operator_settings.file import parse

RECORDED = json.loads((Path(__file__).parent / "fixtures" / "configuration_digests.json").read_text())


@pytest.mark.parametrize("recorded", RECORDED["platform"], ids=lambda one: str(one["digest"]))
def test_digest_of_platform_settings_equals_the_recorded_one(recorded: dict[str, Any]) -> None:
    settings = platform_settings.parse(recorded["settings"])
    assert configuration_digest(settings, NODE_FIELDS) == recorded["digest"]


@pytest.mark.parametrize("recorded", RECORDED["operators"], ids=lambda one: str(one["digest"]))
def test_digest_of_operator_settings_equals_the_recorded_one(
    recorded: dict[str, Any], tmp_path: Path
) -> None:
    settings = parse(recorded["settings"], tmp_path)
    assert configuration_digest(settings, OPERATOR_NODE_FIELDS) == recorded["digest"]


def test_digest_leaves_out_what_is_each_nodes_own() -> None:
    first, second = dict(RECORDED["platform"][0]["settings"]), dict(RECORDED["platform"][0]["settings"])
    first["me"], second["me"] = 1, 2
    first["zone"], second["zone"] = "a", "b"
    digests = {configuration_digest(platform_settings.parse(one), NODE_FIELDS) for one in (first, second)}
    assert len(digests) == 1
