"""Run nodes of the direct plane, a control plane without zone roots.

The nodes, or the readers among them, follow the object API of the users' platform, and the nodes
exchange members and configuration with each other.
"""
