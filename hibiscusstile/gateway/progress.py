"""Limits on the time for which a response makes no progress.

Only events count as progress of a stream: a server may send single bytes, or
comments that keep the connection open, for as long as it likes.
"""

from __future__ import annotations

from hibiscusstile.gateway import routes

__all__ = ["max_event_gap_s"]

# Callers abandon a stream after the longest of these gaps between two events.
_MIN_PATIENCE_S = 2.0
_PATIENCE_TARGETS = 4.0
_PATIENCE_EVENT_GAPS = 8.0
# Share of the caller's patience after which a stream continues at another
# server, which then has the rest of it to send its first event.
_RESUME_SHARE = 0.5


def max_event_gap_s(route: routes.Route, *, may_resume: bool) -> float:
    """Returns the longest gap after which a server still counts as sound.

    Args:
        route: Route of the request.
        may_resume: Whether another server may continue the stream.
    """
    patience_s = max(
        _MIN_PATIENCE_S,
        _PATIENCE_TARGETS * route.target_latency_s,
        _PATIENCE_EVENT_GAPS * route.event_gap_s,
    )
    return patience_s * _RESUME_SHARE if may_resume else patience_s
