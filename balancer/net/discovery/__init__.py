"""Where the list of backends comes from, one module a source: connections and clocks; what to do is decided
in `balancer.core`, what bytes mean in `balancer.protocol`."""
