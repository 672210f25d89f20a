"""Reads the start configuration of a node: environment variables and a JSON file, into checked values."""

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
DEFAULT_MEMORY_MB = 192  # if the file sets no limit


class ConfigError(ValueError):
    """The configuration is missing or invalid; the text names each invalid field, on one line."""

    def __init__(self, *faults: str) -> None:
        self.faults = faults
        super().__init__("; ".join(faults))


@dataclass(slots=True, frozen=True)
class Config:
    """The start configuration of a node."""

    name: str
    listen_address: Address
    discovery_address: Address
    seed: int
    settings: api.Settings
    configured_endpoints: EndpointList
    max_client_sockets: int
    max_backend_sockets: int
    memory_mb: float


def _address(raw: Mapping[str, Any], env: Mapping[str, str], name: str, is_reload: bool) -> Address:
    environment_value = env.get(PREFIX + name.upper())
    value = raw.get(name) or environment_value if is_reload else environment_value or raw.get(name)
    if value is None:
        raise ConfigError(f"{name} is missing")
    try:
        return parse_address(value)
    except ValueError:
        raise ConfigError(f"{name} makes no sense: {value!r:.120}") from None


def read(env: Mapping[str, str]) -> tuple[Config | None, list[str]]:
    """Load the configuration at the start; returns it, or None and one line for each fault."""
    if not env.get(CONFIG):
        return None, [f"{CONFIG} is missing: {CONFIG_DESCRIPTION}; see balancer --help"]
    try:
        return load(env), []
    except ConfigError as err:
        return None, [" ".join(fault.split()) for fault in err.faults]


def load(env: Mapping[str, str], is_reload: bool = False) -> Config:
    """Load the configuration that the environment points to; raises ConfigError with all its faults.

    The environment takes precedence over the file at the start. On a reload the file does, as the environment
    is still that of the start.
    """
    raw = _read_file(env)
    collector = _FaultCollector()
    with collector:
        settings = _settings(raw)
    with collector:
        max_sockets = _max_sockets(raw)
    with collector:
        memory_mb = _memory_mb(raw)
    with collector:
        seed = _seed(raw)
    with collector:
        configured = _configured_endpoints(raw)
    with collector:
        listen = _address(raw, env, "listen", is_reload)
    with collector:
        discovery = _address(raw, env, "discovery", is_reload)
    if collector.faults:
        raise ConfigError(*collector.faults)
    client_quota, backend_quota = descriptor_quotas(max_sockets)
    return Config(
        name=str(env.get(PREFIX + "NAME") or raw.get("name", "")),
        listen_address=listen,
        discovery_address=discovery,
        seed=seed,
        settings=settings,
        configured_endpoints=configured,
        max_client_sockets=client_quota,
        max_backend_sockets=backend_quota,
        memory_mb=memory_mb,
    )


class _FaultCollector(contextlib.AbstractContextManager[None]):
    """Collects the faults of one section of the file and lets the next be parsed."""

    def __init__(self) -> None:
        self.faults: list[str] = []

    def __exit__(self, kind: object, err: BaseException | None, trace: object) -> bool:
        if isinstance(err, ConfigError):
            self.faults += err.faults
        return isinstance(err, ConfigError)


def _read_file(env: Mapping[str, str]) -> dict[str, Any]:
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


def _max_sockets(raw: Mapping[str, Any]) -> int:
    limits = raw.get("limits", {})
    max_sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if (
        isinstance(max_sockets, bool)
        or not isinstance(max_sockets, int)
        or max_sockets < 2 * RESERVED_DESCRIPTORS
    ):
        raise ConfigError(f"limits.sockets makes no sense: {max_sockets!r:.120}")
    return max_sockets


def _memory_mb(raw: Mapping[str, Any]) -> float:
    limits = raw.get("limits")
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB) if isinstance(limits, dict) else DEFAULT_MEMORY_MB
    if isinstance(memory_mb, bool) or not isinstance(memory_mb, (int, float)) or not 1 <= memory_mb < 1e9:
        raise ConfigError(f"limits.memory_mb makes no sense: {memory_mb!r:.120}")
    return float(memory_mb)


def _seed(raw: Mapping[str, Any]) -> int:
    seed = raw.get("seed", "0")
    try:
        return int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError, OverflowError):
        raise ConfigError(f"seed makes no sense: {seed!r:.120}") from None


def _configured_endpoints(raw: Mapping[str, Any]) -> EndpointList:
    try:
        configured = parse_endpoint_list(raw.get("known", {"revision": 0, "complete": True, "members": []}))
    except EndpointListError as err:
        raise ConfigError(f"known: {err}") from None
    return replace(configured, is_complete=True)
