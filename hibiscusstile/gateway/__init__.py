"""The pass-through front end: forwards callers' requests to backend servers.

Unlike the `entry` package, which speaks chat completions and hands work to
sidecars, the gateway forwards each request unchanged and learns what routing
needs from its head. The modules decide and keep state; the adapter in
`hibiscusstile.platform` encodes and decodes.
"""
