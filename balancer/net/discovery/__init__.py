"""Sources of the endpoint list: their connections and timers.

The state machines that decide what to do next are in `balancer.core.discovery`, the codecs in
`balancer.protocol`.
"""
