"""Persistence of a running node, configured by the settings table `[state]`.

- `component.PersistenceComponent` follows the settings: one session for the configured directory.
- `session.PersistenceSession` owns the store of one directory, from opening to closing.
- `restored_lists` passes the persisted endpoint lists to the merger.
- `view_scanner.ViewScanner` finds the endpoints whose rows changed.
- `rows` converts endpoint records to rows and back; `blocking_call` runs work on a dedicated thread.

The store is opened and read off the event loop. If nothing can be persisted, the node serves without it.
"""
