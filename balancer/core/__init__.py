"""Pure deciders beside the policy: events and a clock time in, actions out; no I/O, no clock of their own.

- `admission`: what clients can make the node hold, and who goes where it is too much.
- `membership`: several sources of the list of backends, one view that never goes back.
- `recovery`: what a node may do while it comes back, and how far it has come.
- `spread`: when a node's turn is among all that do the same at once.
- `backoff`: when to try again.
- `peers`: which other nodes are there; SWIM with what Lifeguard adds, where it gained.
- `platform_follow`: what to ask of the platform's discovery next.
- `etcd_follow`: which endpoint of an etcd cluster to ask for what, and when to leave it.
"""
