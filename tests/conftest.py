"""Properties are played on the same cases every time: `benchmarks/properties.py` looks for new ones."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("same", derandomize=True, database=None)
settings.load_profile("same")
