"""What a node persists over crashes: tables (last value by key) and journals (append, read from a position).

- `errors`: the errors, and what is wrong with a file as a kind.
- `files`: the file system as a port: the machine's own, or through SQLite's VFS whatever a test provides.
- `sqlite_file`: one SQLite file with a checksum of each record and a seal over all of them.
- `directory`: names of the files; creating, sweeping and removing them.
- `journal`: one journal over its segment files.
- `engine`: a directory with one owner: generations of the tables, and the journals. No thread.
- `store`: the engine on a writer thread, which commits in groups; the event loop never waits for a disk.
- `inspect`: what `balancer state show|verify|clear` does, as data.

Nothing of it is loaded unless the operators' file has a `[state]` table. `docs/design/store.md` tells what
each kind of fault does to each kind of data.
"""
