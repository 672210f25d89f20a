"""What a node is told at its start: environment and JSON file to checked values."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from dillport import interface as api
from dillport import settings as platform
from dillport.members import Address, ListError, Listing, address, listing

PREFIX = "PROXY_"
SPARE = 32  # descriptors kept for the listener, discovery, the loop and the log
CLIENT_PART = 0.6  # part of the other descriptors that clients may hold; backends get the rest


class ConfigError(ValueError):
    """The configuration is missing or makes no sense; the text names the field."""


@dataclass(slots=True, frozen=True)
class Config:
    """All that a node is told."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: api.Settings
    known: Listing
    client_sockets: int
    upstream_sockets: int


def _at(raw: Mapping[str, Any], env: Mapping[str, str], name: str, again: bool) -> Address:
    told = env.get(PREFIX + name.upper())
    value = raw.get(name) or told if again else told or raw.get(name)
    if value is None:
        raise ConfigError(f"{name} is missing")
    try:
        return address(value)
    except ValueError:
        raise ConfigError(f"{name} makes no sense: {value!r:.120}") from None


def load(env: Mapping[str, str], again: bool = False) -> Config:
    """The configuration that the environment points to; raises ConfigError.

    The environment goes before the file, but not when it is read again: it is that of the start.
    """
    path = env.get(PREFIX + "CONFIG")
    if not path:
        raise ConfigError(f"{PREFIX}CONFIG is missing")
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as err:
        raise ConfigError(f"{PREFIX}CONFIG cannot be read: {err}") from None
    except (ValueError, RecursionError) as err:
        raise ConfigError(f"{PREFIX}CONFIG is not JSON: {err}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{PREFIX}CONFIG is not an object")
    if not isinstance(raw.get("settings"), dict):
        raise ConfigError("settings is missing")
    try:
        settings = platform.parse(raw["settings"])
    except api.SettingsError as err:
        raise ConfigError(f"settings: {err}") from None
    limits = raw.get("limits", {})
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < 2 * SPARE:
        raise ConfigError(f"limits.sockets makes no sense: {sockets!r:.120}")
    seed = raw.get("seed", "0")
    try:
        number = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigError(f"seed makes no sense: {seed!r:.120}") from None
    try:
        known = listing(raw.get("known", {"revision": 0, "complete": True, "members": []}))
    except ListError as err:
        raise ConfigError(f"known: {err}") from None
    clients = int((sockets - SPARE) * CLIENT_PART)
    return Config(
        name=str(env.get(PREFIX + "NAME") or raw.get("name", "")),
        listen=_at(raw, env, "listen", again),
        discovery=_at(raw, env, "discovery", again),
        seed=number,
        settings=settings,
        known=replace(known, complete=True),
        client_sockets=clients,
        upstream_sockets=sockets - SPARE - clients,
    )
