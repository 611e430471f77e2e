"""Applies the settings file of a gateway to its state."""

from __future__ import annotations

from hibiscusstile.gateway import allowances, servermemory, weights
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.platform import boot

__all__ = ["apply_settings", "retry_policy", "weights_bounds"]

# Share of the allowed retries that is used. The rest covers retries that are
# counted in another window than their requests.
_RETRY_SAFETY_FACTOR = 0.9


def apply_settings(
    state: state_lib.GatewayState, settings: boot.BootSettings
) -> None:
    """Applies the settings that may change while the process runs."""
    state.set_retries(retry_policy(settings))
    state.weights.bounds = weights_bounds(settings)
    state.server_memory.limits = servermemory.ServerMemoryLimits(
        settings.limits_server_memory,
        settings.max_server_body_bytes,
        settings.engine_fill,
    )
    state.allowances.ledger.set_tolerance(
        allowances.Tolerance(
            settings.allowance_window_s,
            settings.allowance_excess_share,
            settings.allowance_excess_tokens,
        )
    )
    state.room.set_enabled(settings.shares_room)
    state.even_load.mode = settings.even_load


def retry_policy(settings: boot.BootSettings) -> state_lib.RetryPolicy:
    """Returns the limits on retries."""
    return state_lib.RetryPolicy(
        settings.retry_share * _RETRY_SAFETY_FACTOR, settings.retry_reserve
    )


def weights_bounds(settings: boot.BootSettings) -> weights.WeightsBounds:
    """Returns the bounds on the use of outdated weights."""
    return weights.WeightsBounds(settings.version_s, settings.stable_window_s)
