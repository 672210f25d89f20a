"""Join-Up-To(m) load balancing for a fleet of proxies."""

__version__ = "0.1.0"
