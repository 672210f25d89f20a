"""Bytes to messages and back, one module a protocol: no sockets, no clock, no loop, no decision.

- `platform_list`: discovery's answers, a whole list or the lines of a watch.
- `etcd_watch`: etcd v3's JSON gateway, its range, watch and log-in calls.
- `etcd_entry`: a key and its value in etcd as a member of the list.
- `gossip`: datagrams between nodes, their code, keys and window against replays.
"""
