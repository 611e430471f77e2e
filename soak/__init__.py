"""Soak test with randomised fault injection into separate processes.

`python -m soak --seed 1 --seconds 20` starts a store, backend servers and
gateways on loopback. Faults are injected with signals, with proxies in front
of the store and the servers, and in the servers. With `--plan planned` only
planned work is done, such as stops and reloads, around which no request may be
lost. With `--plan silent` the servers are also silent for seconds before they
go on, which excuses no loss. Afterwards the responses to callers and the
requests that reached the servers are checked against the guarantees of the
gateways.
"""
