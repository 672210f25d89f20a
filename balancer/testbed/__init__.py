"""The stand-in world, on loopback only; used by tests, benchmarks and `demo`, by nothing else.

- `servers`, `clients`, `discovery`, `etcd`: what stands round a node, scripted, recording what it saw.
- `certificates`, `ports`: what several of them need.
- `link`: a relay that makes a loopback connection faulty.
- `site`, `records`: what a world is made of, and what was recorded in it, on one monotonic clock.
- `judge`, `cold`: the four rules, from the records alone; the fourth one's budget.
- `world`, `fleet_world`: real node processes among the stand-ins, with discovery, and with etcd beside it.
- `schedules`: seeded rows of faults of the sources, played on such a world; `demo`: one to look at.
- `script`: faults of processes, servers and paths as data, drawn, played and judged on a world; `scripts`:
  the hard days of a fleet; `play`: one played, in lines and as a picture.
- `fleet`: nodes and servers by the thousand in virtual time, without a socket.
- `paper`: one dispatcher in the setting of the paper on Join-Up-To(m).
"""
