"""Configuration: the log's records folded into what is in force."""
