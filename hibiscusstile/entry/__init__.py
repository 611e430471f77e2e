"""Role `entry`: the thin instances that callers reach."""
