"""Entry role: HTTP front end that routes callers' requests to sidecars."""
