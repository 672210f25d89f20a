"""Join-Up-To(m) load balancing decisions for a bank of proxies."""

__version__ = "0.1.0"
