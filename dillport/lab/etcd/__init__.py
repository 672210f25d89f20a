"""The stand-in for etcd, and what it has in common with a real one.

- `store`: what a cluster holds, pure.
- `client`: a small client of etcd's JSON gateway; raw, so that tests see what was on the wire.
- `cluster`: `EtcdCluster`, the interface that the stand-in and `dillport.lab.real_etcd` share.
- `gateway`: etcd's JSON gateway over HTTP/1.1, one endpoint of it, with the faults it can be told to have.
- `standin`: several such endpoints over one store, and the record of what each of them told whom.
"""
