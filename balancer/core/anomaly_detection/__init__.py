"""Anomalies of backends, zones and classes against their baselines."""
