"""A node on sockets; the only package that uses asyncio. Decisions are made in `core` and `policy`.

- `application`: assembles and runs a node; `config`: the platform's configuration of a node.
- `listener`, `http_server`: client connections; `request_dispatcher`: open requests and their attempts;
  `backend_pool`: connections to backends.
- `discovery`: sources of the endpoint list; `endpoint_view`: the merged list; `bulk_update`: large lists.
- `startup`, `components`, `component`, `reload`: the operators' file and the components that it enables.
- `cluster`, `cluster_gossip`, `gossip_transport`: the other nodes; `recovery`, `persistence`: restarts.
- `timeline`, `metrics_server`, `admin_socket`: history, metrics and queries for operators.
"""
