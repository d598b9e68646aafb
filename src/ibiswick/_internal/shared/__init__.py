"""Provide the types and functions that all packages use."""
