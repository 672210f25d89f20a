"""The cluster of nodes: failure detection, advertised node state, partition detection, gossiped removals."""
