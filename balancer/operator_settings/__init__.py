"""The operators' settings: a validated TOML file in addition to the platform's configuration.

- `file`: `OperatorSettings`, the complete file; `load` and `parse` create it from a file or from its TOML
  tables, and raise `OperatorSettingsError`.
- `membership`, `control`, `timeline`, `metrics`, `state`, `peers`: one table each. A table that is present is
  enabled; one that is absent costs nothing.
- `table`: how a table is parsed, and `changes`: the differences between two settings, for the log.
- `checks`, `faults`: checks of values; faults and their locations.

`load` reports all faults of a file at once, each with its key's path, what was found and what is allowed.
`deploy/operators.toml` is an example that explains each key.
"""

from balancer.operator_settings.control import ControlSettings
from balancer.operator_settings.faults import OperatorSettingsError, SettingFault
from balancer.operator_settings.file import OperatorSettings, load, parse
from balancer.operator_settings.membership import EtcdSettings, Membership
from balancer.operator_settings.metrics import MetricsSettings
from balancer.operator_settings.peers import PeersSettings
from balancer.operator_settings.state import StateSettings
from balancer.operator_settings.table import changes
from balancer.operator_settings.timeline import TimelineSettings

__all__ = [
    "ControlSettings",
    "EtcdSettings",
    "Membership",
    "MetricsSettings",
    "OperatorSettings",
    "OperatorSettingsError",
    "PeersSettings",
    "SettingFault",
    "StateSettings",
    "TimelineSettings",
    "changes",
    "load",
    "parse",
]
