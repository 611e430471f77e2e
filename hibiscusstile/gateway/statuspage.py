"""The part of the operators' status page that shows routing state."""

from __future__ import annotations

import math

from hibiscusstile.gateway import allowances, fleet
from hibiscusstile.gateway import state as state_lib

__all__ = ["describe_state"]


def describe_state(
    state: state_lib.GatewayState, own_name: str
) -> dict[str, object]:
    """Returns allowances, engines' rates and room, blocked parts and servers.

    Args:
        state: State of this gateway process.
        own_name: Name of this instance.
    """
    limited = describe_allowances(state.allowances.ledger)
    return {
        **({"allowances": limited} if limited else {}),
        "engine_rates": {
            service: {
                "observations": each.observations,
                "prefill_tokens_per_s": round(each.prefill_tokens_per_s),
                "sizes_s": each.sizes,
            }
            for service, each in state.all_engine_rates.items()
            if each.observations
        },
        "blocked": [
            {"key": each.label, "crashes": each.crashes}
            for each in state.crashing_parts.blocks
        ],
        "room": {
            route: {
                **each.decisions,
                "fair_tokens": round(each.shares.level)
                if math.isfinite(each.shares.level)
                else "",
            }
            for route, each in state.room.routes.items()
        },
        "backend_servers": [
            _describe_server(state, own_name, server)
            for server in state.fleet.servers
        ],
    }


def describe_allowances(
    ledger: allowances.AllowanceLedger,
) -> list[dict[str, object]]:
    """Returns each limited workspace's allowance and what is held here."""
    return [
        {
            "workspace": name,
            "rate_per_s": account.allowance.rate,
            "burst": account.allowance.burst,
            "unit": "tokens" if account.allowance.in_tokens else "requests",
            "gateways": ledger.gateways,
            "gained_per_s": round(account.gained_per_s, 1),
            "held": round(ledger.held(name)),
            "admitted": round(account.totals.admitted_tokens),
            "refused": account.totals.refused,
            "refused_tokens": round(account.totals.refused_tokens),
            "lent": round(account.totals.lent_tokens),
            "borrowed": round(account.totals.borrowed_tokens),
        }
        for name, account in ledger.accounts.items()
    ]


def _describe_server(
    state: state_lib.GatewayState, own_name: str, server: fleet.BackendServer
) -> dict[str, object]:
    statements = state.server_statements
    held = state.server_memory.held(server.server_id)
    said_leaving = statements.leaving_server(server)
    return {
        "server": server.server_id,
        "service": server.service,
        "zone": server.zone,
        "leaving": server.leaving,
        "said_leaving_to": (
            said_leaving.source or own_name if said_leaving else ""
        ),
        "said_leaving_s_ago": (
            round(said_leaving.age_s, 1) if said_leaving else ""
        ),
        "paused_for_s": round(statements.pause_left_s(server), 1),
        "up": state.health.is_up(server.server_id),
        "running": state.loads.for_server(server.server_id).running,
        "held_tokens": held.tokens,
        "held_body_bytes": held.body_bytes,
    }
