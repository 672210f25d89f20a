"""Crash-safe storage of a node: tables (last value by key) and journals (append, read from a position).

- `errors`: the exceptions and the kinds of faults.
- `files`: the file-system interface: the local file system, or a simulated one behind a SQLite VFS in tests.
- `sqlite_file`: one SQLite file with a checksum of each record and a seal over all of them.
- `directory`: file names; creating and removing files, and sweeping unfinished ones.
- `journal`: one journal over its segment files.
- `engine`: a directory with one owner: generations of the tables, and the journals. It starts no thread.
- `store`: the engine on a writer thread with group commits; the event loop never waits for a disk.
- `inspect`: the operations behind `balancer state show|verify|clear`; the results are plain data.

The package is imported only if the operators' file has a `[state]` table. `docs/design/store.md` describes
the effect of each kind of fault on each kind of data.
"""
