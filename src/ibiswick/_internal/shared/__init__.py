"""Hold what every part of ibiswick uses."""
