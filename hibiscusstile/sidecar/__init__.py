"""Role `sidecar`: the process beside each backend server."""
