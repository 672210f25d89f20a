"""The real node: the decision module on sockets."""
