"""Join-Up-To(m) load balancing decisions for a bank of proxies."""
