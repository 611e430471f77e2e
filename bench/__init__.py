"""Measuring bench: the real decision classes on a virtual clock."""
