"""Encoders and decoders of the protocols, without sockets, clocks, event loops or decisions.

- `platform_list`: discovery's responses, a complete list or the objects of a watch.
- `large_list`: a list of thousands of entries, parsed in steps.
- `class_path`: the request class that a path names.
- `etcd_watch`: etcd v3's JSON gateway, its range, watch and authenticate calls.
- `etcd_entry`: a key and its value in etcd as an endpoint.
- `gossip`: datagrams between nodes, their message authentication code, keys and replay window.
- `gossip_sections`: the sections of a gossip datagram.
"""
