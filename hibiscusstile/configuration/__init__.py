"""Configuration replicated through the log, and the view in force."""
