"""Route and forward the calls of callers and of other nodes."""
