"""The stand-in for etcd, held to what etcd 3.4 documents and to what 3.4.23 was seen to do.

- `store`: what a cluster holds, pure.
- `client`: a small client of etcd's JSON gateway; raw, so that tests see what was on the wire.
- `cluster`: `EtcdCluster`, what the users of a cluster may ask of it.
- `standin`: `StandIn`, several endpoints over one store, every fault a method call away.
- `shared`: what its endpoints have in common, and the record of what each of them told whom.
- `gateway`, `stream`, `http`: one endpoint, the answer to a watch call, HTTP/1.1 as etcd speaks it.
- `wire`, `auth`: etcd's JSON, and who is let in; both pure.
"""
