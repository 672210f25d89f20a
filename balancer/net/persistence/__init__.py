"""Persistence of a running node: what the table `[state]` switches on, off and over.

- `component.PersistenceComponent` follows the settings: one session for the configured directory.
- `session.PersistenceSession` owns the store of one directory, from opening to closing.
- `restored_lists` hands the endpoint lists that were persisted to the merger.
- `view_scanner.ViewScanner` finds the endpoints whose rows changed.
- `rows` converts endpoint records to rows and back; `blocking_call` runs work on a thread of its own.

The store is opened and read off the event loop. Where nothing can be persisted, the node serves on without.
"""
