"""Router for language-model traffic with long shared prompts."""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.2.0"
