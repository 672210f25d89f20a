"""What a node keeps over crashes: tables (last value by key) and journals (append, read from a position).

- `files`: the file layer as a port: the machine's own, and by SQLite's VFS whatever a test puts in its place.
- `piece`: one SQLite file, sealed; every record carries a checksum, and what fails one is not believed.
- `engine`: a directory with one owner; generations of the tables, segments of the journals. No thread.
- `store`: the engine on a thread of its own, which commits in groups; the loop never waits for a disk.
- `inspect`: what `balancer state show|verify|clear` does, as data.

Nothing of it is loaded where the operators' file has no `[state]`. `docs/design/store.md` says what each kind
of fault does to each kind of data.
"""
