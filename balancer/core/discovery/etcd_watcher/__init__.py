"""Watches the endpoint list of one etcd cluster: a state machine without I/O, see `watcher`."""
