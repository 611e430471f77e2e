"""Placement of models on runners, and leases for loading weights."""
