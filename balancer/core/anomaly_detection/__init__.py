"""Detects anomalies of backends, zones and request classes against learned baselines."""
