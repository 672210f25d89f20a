"""Exports the timeline to other programs; the only package that depends on their client libraries.

- `metrics`: OpenMetrics text, built from the timeline at scrape time (`prometheus_client`).
- `html_report`: a report as one HTML file (`matplotlib`), built by the command and not by the node.
"""
