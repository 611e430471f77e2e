"""Tests of the memory and connection limits."""
