"""Simulate fleets under load in virtual time, with the decision code of the real nodes."""
