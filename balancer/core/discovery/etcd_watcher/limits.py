"""Intervals, timeouts and limits of the etcd watcher. They are read on use, so tests can replace them."""

from __future__ import annotations

CHECK_INTERVAL_MS = 1000.0
"""The interval between two checks of the endpoint in use."""
CHECK_TIMEOUT_MS = 1500.0
"""The timeout of a check. With CHECK_INTERVAL_MS, an unresponsive endpoint is abandoned within 2.5 s."""
MAX_FAILED_CHECKS = 2
"""Checks that fail in a row before the endpoint is abandoned."""
CALL_TIMEOUT_MS = 3000.0
"""The timeout of a snapshot page, and of the confirmation of a watch."""

RESUME_JITTER_MS = 200.0
"""The longest random delay before a broken watch is resumed; many nodes may have lost the same endpoint."""
MIN_BACKOFF_MS = 200.0
"""The first backoff after a round in which no endpoint was usable."""
MAX_BACKOFF_MS = 2500.0
"""The longest backoff between two rounds, before jitter of up to half of it. After an outage a node has to
know changes within 6 s, of which a check that gets no answer takes CHECK_TIMEOUT_MS."""
MAX_RETRY_AFTER_MS = 60_000.0
"""The longest `Retry-After` of an overloaded etcd that is honored."""
TIMER_RESOLUTION_MS = 1.0
"""A snapshot may be fetched this long before its time slot, because timers are not more precise."""

SILENT_WATCH_TIMEOUT_MS = 60_000.0
"""A watch without a message for about this long is reopened, if etcd's revision has advanced."""
AUDIT_INTERVAL_MS = 10_000.0
"""The mean interval between key counts. Each makes etcd walk its index: some ms for 10,000 keys."""
MAX_AUDIT_INTERVAL_MS = 600_000.0
"""The longest interval, reached after repeated mismatches that the snapshot did not confirm."""

MIN_REGRESSION_ROUNDS = 3
"""Rounds in which every endpoint lags before the source is rejected as restored from a backup."""
MIN_REGRESSION_MS = 10_000.0
"""The minimum time that these rounds have to span."""
MAX_FORMER_CLUSTERS = 8
"""Replaced cluster ids that are remembered, and never adopted again."""

MAX_PAGE_KEYS = 500
"""The maximum number of keys in a snapshot page."""
MAX_SNAPSHOT_ENTRIES = 100_000
"""The maximum number of entries in a snapshot; an endpoint that lists more is abandoned."""
MAX_SNAPSHOT_RESTARTS = 5
"""Restarts of a snapshot at the same endpoint, for example after a compaction."""
MIN_MASS_REMOVAL_ENDPOINTS = 4
"""The minimum number of removals in one revision that is logged, if it is also more than half."""
