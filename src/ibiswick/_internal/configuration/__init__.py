"""Compile, check and accept configuration."""
