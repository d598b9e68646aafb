"""Translate between ibiswick and the users' platform.

Only this package knows the terms of the platform's messages, settings and headers. It makes no
decisions. The only state that it keeps is the era of the store.
"""
