"""The real node on sockets: the only place with asyncio; it carries out what is decided elsewhere.

- `assemble`: puts the parts together and runs them; `config`: what the platform tells a node at its start.
- `listener`, `front`: clients; `node`: what each request is owed; `upstream`: connections to backends.
- `sources`, `fleet`: where the list of backends comes from, and the one view of it.
- `start`, `operators`, `part`: the operators' file at a start, and what it switches on, all in one shape.
- `timeline`: what each server did, for operators who ask.
- `control`, `reload`: operators ask a running node, and change its settings.
"""
