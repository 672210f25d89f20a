"""Where the list of backends comes from, one module a source: connections and clocks; what to do is decided
in `dillport.decide`, what bytes mean in `dillport.proto`."""
