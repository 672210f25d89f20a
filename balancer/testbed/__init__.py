"""A test environment on loopback; used by tests, benchmarks and `demo`, never by the service itself.

- `backend_emulator`, `load_generator`, `discovery_emulator`, `etcd`: the systems around a node. They follow a
  script and record what they see.
- `certificates`, `port_reservation`: helpers that several of them share.
- `tcp_fault_proxy`, `udp_fault_proxy`: proxies that inject faults into a path on loopback.
- `service_profile`, `event_log`: the classes of requests and the limits of the four rules, and the recorded
  events on one monotonic clock.
- `invariant_checker`, `slow_start_model`: check the four rules from the recorded events alone; the second
  computes the budget of the fourth rule.
- `cluster`, `dual_source_cluster`: real node processes among the emulators, with discovery alone
  or with etcd as well.
- `fault_schedules`: seeded sequences of faults of the sources, run on such a cluster; `demo`: a short run to
  watch.
- `scenario`: faults of processes, servers and paths as data, drawn, run and checked on a cluster;
  `scenarios`: the scenario files; `scenario_runner`: runs one and reports it as text and as a picture.
- `disk_faults`, `simulated_disk`: faults of a state directory, and a disk in memory that fails on demand.
- `simulation`: nodes and servers by the thousand in virtual time, without sockets.
- `jut_model`: one dispatcher in the setting of the paper on Join-Up-To(m).
"""
