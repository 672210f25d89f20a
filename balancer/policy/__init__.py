"""Request decisions of a node: Join-Up-To(m) with limits, retries and outlier ejection."""
