"""Watches the endpoint list of one etcd cluster as a state machine without I/O; see `watcher`."""
