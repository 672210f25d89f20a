"""The simulator's wire format and the adapter that hosts decision modules on it."""
