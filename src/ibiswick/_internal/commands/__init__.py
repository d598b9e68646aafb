"""Provide the entry point of each console program."""
