"""What each server did and what the node decided about it, second by second, within a stated memory. Pure.

- `keys`: every count has a number; names for people.
- `sketch`: answer times with a relative error of 2%, mergeable.
- `series`: counts and gauges of one line in three resolutions, packed, thinned by a budget.
- `record`: `Recorder`, the observer that fills all lines, rolls them up in pieces, and reads them back.
- `trails`: what was decided about single requests, in order.
- `watch`: `Watch`, the recorder and the detection of departures as one observer.
- `views`: what operators are told of it, as JSON's own types.

Clocks are the caller's, in milliseconds since 1970. Metrics, pages and commands read this; nothing else
counts.
"""
