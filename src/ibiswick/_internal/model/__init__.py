"""Model fleets under load with the decisions of real nodes, in virtual time."""
