"""The simulator's line protocol, and the adapter that runs decision modules on it."""
