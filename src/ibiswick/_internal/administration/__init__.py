"""Serve the administration API."""
