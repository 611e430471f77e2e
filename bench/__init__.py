"""Benchmark: simulates a fleet with the production decision classes.

Routing policies, bids, admission queues and cache views are those of the
package `hibiscusstile`. Engines, network and clients are simulated on a
virtual clock, so that a seed always gives the same results.
"""
