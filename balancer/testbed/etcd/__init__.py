"""An etcd emulator that follows the etcd 3.4 documentation and the observed behavior of 3.4.23.

- `store`: the data of a cluster, without I/O.
- `client`: a minimal client of etcd's JSON gateway that exposes raw responses.
- `cluster`: `EtcdCluster`, the interface of a cluster under test.
- `standin`: `EtcdEmulator`, several endpoints over one store, with injectable faults.
- `shared`: the state that the endpoints share, and the record of the responses they sent.
- `gateway`, `stream`, `http`: an endpoint, the response stream of a watch call, HTTP/1.1 framing.
- `wire`, `auth`: the JSON encoding and authentication, both without I/O.
"""
