"""Distribute configuration to the proxies of a service mesh."""

__version__ = "0.1.0.dev0"
