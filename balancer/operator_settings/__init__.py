"""The operators' own settings: a TOML file beside the platform's configuration, checked.

- `file`: `Operators`, the whole file; `load`, `parse`: a file, or its tables as TOML gives them, to
  `Operators`; raise `OperatorsError`.
- `membership`, `control`, `timeline`, `metrics`, `state`, `peers`: one table each. A table that is there is
  on; one that is not costs nothing.
- `table`: how a table is read, and `changes`: what differs between two readings, for the log.
- `checks`, `faults`: of values; where and what is wrong.

`load` names ALL faults of a file at once, each with its key's path, what was found and what is allowed.
`deploy/dillport.toml` is an example that explains each key.
"""

from dillport.operators.control import ControlSettings
from dillport.operators.faults import Fault, OperatorsError
from dillport.operators.file import Operators, load, parse
from dillport.operators.membership import EtcdSettings, Membership
from dillport.operators.metrics import MetricsSettings
from dillport.operators.peers import PeersSettings
from dillport.operators.state import StateSettings
from dillport.operators.table import changes
from dillport.operators.timeline import TimelineSettings

__all__ = [
    "ControlSettings", "EtcdSettings", "Fault", "Membership", "MetricsSettings", "Operators",
    "OperatorsError", "PeersSettings", "StateSettings", "TimelineSettings", "changes", "load", "parse",
]  # fmt: skip
