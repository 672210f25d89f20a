"""`[metrics]`: export of the time line to monitoring systems."""

from __future__ import annotations

import ipaddress
from collections.abc import Set
from dataclasses import dataclass
from typing import Annotated, Any

from balancer.operator_settings.checks import require_package, socket_address
from balancer.operator_settings.faults import Location
from balancer.operator_settings.table import Table


@dataclass(slots=True, frozen=True, kw_only=True)
class MetricsSettings(Table):
    """`[metrics]`: the time line as OpenMetrics over HTTP, without authentication."""

    required_tables = ("timeline",)  # the source of the metrics
    listen: Annotated[tuple[str, int], socket_address] = ("127.0.0.1", 9464)

    @classmethod
    def validate(cls, values: dict[str, Any], given: Set[str], location: Location) -> None:
        """Check that the optional package `prometheus_client` is installed."""
        require_package("prometheus_client", "metrics", location)

    def summary(self) -> str:
        """Describe where the node listens, and warn if others can reach it."""
        host, port = self.listen
        address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        is_loopback = ipaddress.ip_address(host).is_loopback
        warning = "" if is_loopback else "; ANYBODY who reaches that address may read them"
        return f"metrics at http://{address}/metrics{warning}"
