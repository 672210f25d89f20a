"""What nodes know of each other: failure detection, advertised node state, partitions, gossiped removals."""
