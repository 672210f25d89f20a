"""What hands the time line on to programs of others; the only place that knows their libraries.

- `metrics`: OpenMetrics text, read out of the lines at scrape time (`prometheus_client`).
- `page`: a report as one HTML file (`matplotlib`), made by the command, not by the node.
"""
