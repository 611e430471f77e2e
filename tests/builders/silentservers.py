"""Builders of backend servers that are silent for a while."""

from __future__ import annotations

import argparse

from hibiscusstile_standins import silentrunner

__all__ = ["silent_server"]


def silent_server(silence_s: float) -> silentrunner.SilentBackendServer:
    """Returns a server that is silent in each response.

    Args:
        silence_s: Length of all silences of a response together.
    """
    parser = argparse.ArgumentParser()
    silentrunner.SilentBackendServer.add_arguments(parser)
    bounds = (f"--min-silence-s={silence_s}", f"--max-silence-s={silence_s}")
    return silentrunner.SilentBackendServer.from_arguments(
        parser.parse_args(bounds)
    )
