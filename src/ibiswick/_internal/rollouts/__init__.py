"""Decide how the traffic of a service moves to another version of its backend servers."""
