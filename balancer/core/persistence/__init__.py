"""The state that a node persists across restarts.

- `persisted_state`: the stored rows and their encoding.
- `restoration`: what a start restores of them.
- `write_behind`: decides which changes are written when.
"""
