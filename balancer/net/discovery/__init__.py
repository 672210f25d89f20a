"""Sources of the endpoint list, one module a source: connections and clocks.

What to do next is decided in `balancer.core.discovery`, what bytes mean in `balancer.protocol`.
"""
