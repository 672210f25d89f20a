"""What a node is told at its start: environment and JSON file to checked values."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from balancer import interface as api
from balancer import platform_settings as platform
from balancer.core.connection_admission import RESERVED_DESCRIPTORS, descriptor_quotas
from balancer.endpoints import (
    Address,
    EndpointList,
    EndpointListError,
    parse_address,
    parse_endpoint_list,
)

PREFIX = "PROXY_"
CONFIG = PREFIX + "CONFIG"
CONFIG_DESCRIPTION = "it names the JSON file in which the platform configures a node"
DEFAULT_MEMORY_MB = 192  # where the file names none


class ConfigError(ValueError):
    """The configuration is missing or makes no sense; the text names every field that does, on one line."""

    def __init__(self, *faults: str) -> None:
        self.faults = faults
        super().__init__("; ".join(faults))


@dataclass(slots=True, frozen=True)
class Config:
    """All that a node is told."""

    name: str
    listen_address: Address
    discovery_address: Address
    seed: int
    settings: api.Settings
    configured_endpoints: EndpointList
    max_client_sockets: int
    max_backend_sockets: int
    memory_mb: float


def _at(raw: Mapping[str, Any], env: Mapping[str, str], name: str, again: bool) -> Address:
    told = env.get(PREFIX + name.upper())
    value = raw.get(name) or told if again else told or raw.get(name)
    if value is None:
        raise ConfigError(f"{name} is missing")
    try:
        return parse_address(value)
    except ValueError:
        raise ConfigError(f"{name} makes no sense: {value!r:.120}") from None


def read(env: Mapping[str, str]) -> tuple[Config | None, list[str]]:
    """The configuration at the start, and what is wrong with it, a line a fault."""
    if not env.get(CONFIG):
        return None, [f"{CONFIG} is missing: {CONFIG_DESCRIPTION}; see balancer --help"]
    try:
        return load(env), []
    except ConfigError as err:
        return None, [" ".join(fault.split()) for fault in err.faults]


def load(env: Mapping[str, str], again: bool = False) -> Config:
    """The configuration that the environment points to; raises ConfigError with all its faults.

    The environment goes before the file, but not when it is read again: it is that of the start.
    """
    raw = _raw(env)
    gather = _FaultCollector()
    with gather:
        settings = _settings(raw)
    with gather:
        sockets = _sockets(raw)
    with gather:
        memory = _memory(raw)
    with gather:
        seed = _seed(raw)
    with gather:
        known = _known(raw)
    with gather:
        listen = _at(raw, env, "listen", again)
    with gather:
        discovery = _at(raw, env, "discovery", again)
    if gather.faults:
        raise ConfigError(*gather.faults)
    clients, upstream = descriptor_quotas(sockets)
    return Config(
        name=str(env.get(PREFIX + "NAME") or raw.get("name", "")),
        listen_address=listen,
        discovery_address=discovery,
        seed=seed,
        settings=settings,
        configured_endpoints=known,
        max_client_sockets=clients,
        max_backend_sockets=upstream,
        memory_mb=memory,
    )


class _FaultCollector(contextlib.AbstractContextManager[None]):
    """Keeps the faults of one part of the file and goes on with the next."""

    def __init__(self) -> None:
        self.faults: list[str] = []

    def __exit__(self, kind: object, err: BaseException | None, trace: object) -> bool:
        if isinstance(err, ConfigError):
            self.faults += err.faults
        return isinstance(err, ConfigError)


def _raw(env: Mapping[str, str]) -> dict[str, Any]:
    path = env.get(CONFIG)
    if not path:
        raise ConfigError(f"{CONFIG} is missing")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.loads(file.read())
    except OSError as err:
        raise ConfigError(f"{CONFIG} cannot be read: {err}") from None
    except (ValueError, RecursionError) as err:
        raise ConfigError(f"{CONFIG} is not JSON: {err}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{CONFIG} is not an object")
    return raw


def _settings(raw: Mapping[str, Any]) -> api.Settings:
    if not isinstance(raw.get("settings"), dict):
        raise ConfigError("settings is missing")
    try:
        return platform.parse(raw["settings"])
    except api.SettingsError:
        raise ConfigError(
            *(f"settings: {fault}" for fault in platform.find_faults(raw["settings"]))
        ) from None


def _sockets(raw: Mapping[str, Any]) -> int:
    limits = raw.get("limits", {})
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < 2 * RESERVED_DESCRIPTORS:
        raise ConfigError(f"limits.sockets makes no sense: {sockets!r:.120}")
    return sockets


def _memory(raw: Mapping[str, Any]) -> float:
    limits = raw.get("limits")
    memory = limits.get("memory_mb", DEFAULT_MEMORY_MB) if isinstance(limits, dict) else DEFAULT_MEMORY_MB
    if isinstance(memory, bool) or not isinstance(memory, (int, float)) or not 1 <= memory < 1e9:
        raise ConfigError(f"limits.memory_mb makes no sense: {memory!r:.120}")
    return float(memory)


def _seed(raw: Mapping[str, Any]) -> int:
    seed = raw.get("seed", "0")
    try:
        return int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError, OverflowError):
        raise ConfigError(f"seed makes no sense: {seed!r:.120}") from None


def _known(raw: Mapping[str, Any]) -> EndpointList:
    try:
        known = parse_endpoint_list(raw.get("known", {"revision": 0, "complete": True, "members": []}))
    except EndpointListError as err:
        raise ConfigError(f"known: {err}") from None
    return replace(known, is_complete=True)
