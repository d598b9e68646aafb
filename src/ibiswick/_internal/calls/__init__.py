"""Carry calls."""
