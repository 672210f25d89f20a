"""Intervals, timeouts and bounds of the etcd watcher. Read when used, so that tests can replace them."""

from __future__ import annotations

CHECK_INTERVAL_MS = 1000.0
"""Between two checks of the endpoint in use."""
CHECK_TIMEOUT_MS = 1500.0
"""For the answer to a check. With CHECK_INTERVAL_MS, an unresponsive endpoint is left within 2.5 s."""
MAX_FAILED_CHECKS = 2
"""Checks that fail in a row before the endpoint is left."""
CALL_TIMEOUT_MS = 3000.0
"""For a page of a snapshot, and for the confirmation of a watch."""

RESUME_JITTER_MS = 200.0
"""A broken watch is resumed after a random part of this: many nodes may have lost the same endpoint."""
MIN_BACKOFF_MS = 200.0
"""The first backoff after a round in which no endpoint was usable."""
MAX_BACKOFF_MS = 5000.0
"""The longest backoff between two rounds, before jitter."""
MAX_RETRY_AFTER_MS = 60_000.0
"""The longest `Retry-After` of an overloaded etcd that is honoured."""
TIMER_RESOLUTION_MS = 1.0
"""A snapshot is fetched up to this long before its time slot, because timers are no more precise."""

SILENT_WATCH_TIMEOUT_MS = 60_000.0
"""A watch without a message for about this long is reopened, if etcd's revision has moved on."""
AUDIT_INTERVAL_MS = 10_000.0
"""Between two key counts. etcd walks its index for each, which takes some ms for 10,000 keys."""
MAX_AUDIT_INTERVAL_MS = 600_000.0
"""The interval after several counts that were wrong although the snapshot showed no difference."""

MIN_REGRESSION_ROUNDS = 3
"""Rounds in which every endpoint lags before the source is rejected as restored from a backup."""
MIN_REGRESSION_MS = 10_000.0
"""The least time that such rounds have to span."""
MAX_FORMER_CLUSTERS = 8
"""Cluster ids that are remembered, and not returned to, after a change of cluster."""

MAX_PAGE_KEYS = 500
"""Keys in a page of a snapshot."""
MAX_SNAPSHOT_ENTRIES = 100_000
"""Entries in a snapshot; an endpoint that lists more is left."""
MAX_SNAPSHOT_RESTARTS = 5
"""Times that a snapshot is begun again at the same endpoint, for example after a compaction."""
MIN_MASS_REMOVAL_ENDPOINTS = 4
"""Removals in one revision that are logged, if they are also more than half of all endpoints."""
