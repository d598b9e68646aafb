"""Translate between ibiswick and the users' platform.

The names and words of the platform's messages, settings and headers are known only here. Nothing in
this package decides anything or keeps state.
"""
