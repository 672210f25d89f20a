"""Load that makes a node hold much memory, to test that its process stays within `limits.memory_mb`.

- `clients`: clients that get stuck in their requests, do not read, or leave; a process of their own.
- `slow_backends`: backends that answer late, with bodies of any length; a process of their own.
- `measurement`: a node under both and under usual requests, with its peak of resident memory.
"""
