"""Reverse proxy that forwards callers' requests to backend servers.

Unlike the `entry` package, which implements the chat completions API and
dispatches work to sidecars, the gateway forwards each request unchanged and
routes it by its request line and headers. These modules make the decisions
and hold the state; `hibiscusstile.platform` implements the wire formats.
"""
