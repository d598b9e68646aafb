"""Identify tenants, limit their calls, and share capacity among them."""
