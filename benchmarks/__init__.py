"""Measurements that a reader can run again, each with one command; README.md beside this says which and how.

They are no tests: nothing passes or fails. They run on the lab's stand-ins, on loopback, outside CI.
"""
