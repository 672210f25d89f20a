"""The stand-in world, on loopback only; used by tests, benchmarks and `demo`, by nothing else.

- `servers`, `clients`, `discovery`, `etcd`: what stands round a node, scripted, recording what it saw.
- `link`: a relay that makes a loopback connection faulty.
- `judge`: the four rules, from the records alone.
- `fleet`: nodes and servers by the thousand in virtual time, without a socket.
- `paper`: one dispatcher in the setting of the paper on Join-Up-To(m).
"""
