"""Simulate the platform and backend servers; run, measure and check real deployments."""
