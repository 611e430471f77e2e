"""Randomised soak: real processes, faults from outside, promises checked.

`python -m soak --seed 1 --seconds 20` starts the store, backend servers and
gateways as separate processes on loopback, injects faults by signals and by a
proxy before the store and the servers, and checks what callers and servers
saw.
"""
