"""The state that a node persists over a restart.

- `persisted_state`: the rows, as they are stored.
- `restoration`: what a start restores of them.
- `write_behind`: what is written when.
"""
