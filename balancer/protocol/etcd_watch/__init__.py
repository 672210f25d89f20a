"""etcd v3 over its JSON gateway: requests as bytes, and responses decoded into messages.

etcd serves its gRPC calls as JSON over HTTP/1.1 too (etcd's docs, "gRPC gateway"): keys and values are
base64, 64-bit integers are strings, and zero values are omitted. A call is one POST and one response; the
response to a watch is chunked, does not end, and holds one `{"result":...}` a line until an `{"error":...}`,
which has no newline behind it. A `result` may span chunks, and a chunk may hold several.

- `requests`: the bytes of a page of a range, a watch, a small read that shows an endpoint alive, a log-in
- `responses`: the messages
- `response_decoder`: bytes, cut anywhere, to messages; with `json_fields` and `event_reader`

Nothing here knows a socket or a clock. `etcd_entry` parses endpoints from the keys and values.
"""
