"""The operators' own settings: a TOML file beside the platform's configuration, checked.

- `file`: `Operators`, the whole file; `load`, `parse`: a file, or its tables as TOML gives them, to
  `Operators`; raise `OperatorsError`.
- `membership`, `control`, `timeline`, `metrics`, `state`, `peers`: one table each. A table that is there is
  on; one that is not costs nothing.
- `table`: how a table is read, and `changes`: what differs between two readings, for the log.
- `checks`, `faults`: of values; where and what is wrong.

`load` names ALL faults of a file at once, each with its key's path, what was found and what is allowed.
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
