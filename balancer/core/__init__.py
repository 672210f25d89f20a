"""Deterministic state machines beside the policy: an event and a clock time in, actions out.

They perform no I/O and read no clock.

- `connection_admission`: limits on the descriptors and the memory that clients can make the node hold.
- `discovery`: merges the endpoint lists of several sources into one view whose revisions never decrease, and
  decides what to request next from the platform's discovery and from which endpoint of an etcd cluster.
- `cluster`: the membership of the other nodes, by SWIM with extensions of Lifeguard, and what they gossip.
- `recovery`: what a node may do after a start, a crash or a stall, and how far its recovery has come.
- `persistence`: which state is written when, and what a start restores of it.
- `anomaly_detection`: which backends deviate from their baselines.
- `stall_detector`: detects that the process itself was stalled.
- `staggering`: spreads the calls that all nodes make at the same moment.
- `backoff`, `hysteresis`, `service_meter`, `shutdown_deadlines`: timing rules that other components use.
"""
