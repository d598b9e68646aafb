"""Run nodes that read the object API themselves, without zone roots."""
