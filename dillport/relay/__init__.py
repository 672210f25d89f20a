"""What a request is owed, apart from any socket: so far the ports by which the node's parts meet.

- `ports`: Protocol classes; whoever fills one knows nothing of the other side.
"""
