"""Distribute configuration and members among the nodes."""
