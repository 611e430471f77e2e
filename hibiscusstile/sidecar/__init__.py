"""Sidecar process that runs next to each backend server."""
