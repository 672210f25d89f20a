"""A fleet in the computer: N nodes with the real decision module against M servers, in virtual time.

    report = play(rough(seed=7, servers=1_000, nodes=10))

- `scenario`: how large, how loaded, and which troubles come when; `rough` draws some from a seed.
- `servers`: what runs the work, first come first served.
- `policies`: the module, and three plain ones to compare it with: random, two choices, least own count.
- `world`: the events in order of their time; nodes, clients, the network, the list.
- `rules`: the four rules, counted from what happened.
- `report`: what a run comes to. The same scenario gives the same report, always.
"""

from balancer.testbed.simulation.report import Report
from balancer.testbed.simulation.scenario import Scenario, Trouble, rough
from balancer.testbed.simulation.world import World, play

__all__ = ["Report", "Scenario", "Trouble", "World", "play", "rough"]
