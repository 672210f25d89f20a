"""etcd v3 over its JSON gateway: requests as bytes, and responses decoded into messages.

etcd serves its gRPC calls as JSON over HTTP/1.1 too (etcd's docs, "gRPC gateway"): keys and values are
base64, 64-bit integers are strings, and zero values are omitted. A call is one POST and one response; the
response to a watch is chunked, does not end, and holds one `{"result":...}` a line until an `{"error":...}`,
which has no newline after it. A `result` may span chunks, and a chunk may hold several.

- `requests`: builds range, watch, health check and authenticate requests
- `responses`: the messages that responses are decoded into
- `response_decoder`: decodes bytes, split at any position, with `json_fields` and `event_reader`

The package uses no sockets and no clock. `etcd_entry` parses endpoints from the keys and values.
"""
