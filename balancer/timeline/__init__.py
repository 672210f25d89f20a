"""What each server did and what the node decided about it, second by second, within a memory bound. No I/O.

- `schema`: the integer keys of all counters and the names that are shown.
- `latency_histogram`: response times with a relative error of 2%, mergeable.
- `time_series`: counts and gauges of one line in three resolutions, packed, with a retention that shrinks.
- `recorder`: `Recorder`, the observer that fills all lines and closes their buckets in small steps.
- `request_traces`: the decisions about single requests, in order.
- `monitor`: `TimelineMonitor`, the recorder and the anomaly detection as one observer.
- `queries`: the answers to operators, in JSON types.

Callers pass the time in milliseconds since 1970. Metrics, reports and commands all read this data; nothing
else counts.
"""
