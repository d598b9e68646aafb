"""Provide stand-ins for outside systems, for tests and demonstrations."""
