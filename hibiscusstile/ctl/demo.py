"""The command `hibiscusctl demo`, which runs a fleet in one process."""

from __future__ import annotations

import asyncio
import collections
import signal
import statistics
import sys
from collections.abc import Callable, Sequence
from typing import Annotated

import aiomisc
import cyclopts

from hibiscusstile import ctl, logs
from hibiscusstile.ctl import demofleet, demoload

__all__ = ["DemoCommand", "demo"]

_TIMEOUT_S = 50.0


@ctl.commands.register()
class DemoCommand(ctl.Command):
    """Runs the demo."""

    name = "demo"

    @property
    def handler(self) -> Callable[..., int]:
        """The function that runs the command."""
        return demo


def demo(
    *,
    serve: Annotated[bool, cyclopts.Parameter(negative="")] = False,
    port: int = 0,
) -> int:
    """Runs two entries, four sidecars and stand-ins under a short load.

    Args:
        serve: Serve requests until SIGTERM instead of generating a load.
        port: HTTP port of the first entry, with --serve; 0 for a free port.
    """
    if port and not serve:
        print("--port requires --serve", file=sys.stderr)
        return ctl.EXIT_BAD_USAGE
    logs.start_logging(logs.LogFormat.KEY_VALUE, "WARNING")
    with aiomisc.entrypoint(log_config=False) as loop:
        try:
            return loop.run_until_complete(
                _serve(port) if serve else _run_load()
            )
        except (demofleet.FleetNotReady, OSError) as error:
            print(f"demo: {error}", file=sys.stderr)
            return ctl.EXIT_REFUSED


async def _serve(port: int) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with demofleet.run_fleet(port) as fleet:
        print(
            f"ready url={fleet.urls[0]} key={fleet.workspaces[0].key} "
            f"model={demofleet.MODEL} application={demofleet.APPLICATION}",
            flush=True,
        )
        await stop.wait()
    return ctl.EXIT_DONE


async def _run_load() -> int:
    try:
        async with asyncio.timeout(_TIMEOUT_S), demofleet.run_fleet() as fleet:
            chats = await demoload.run_chats(fleet)
            payment = await demoload.run_payment(fleet)
    except TimeoutError:
        print(f"demo: not completed within {_TIMEOUT_S:g} s", file=sys.stderr)
        return ctl.EXIT_REFUSED
    faults = [*_print_chats(chats), *_print_payment(payment)]
    for fault in faults:
        print(f"demo: {fault}", file=sys.stderr)
    return ctl.EXIT_REFUSED if faults else ctl.EXIT_DONE


def _print_chats(chats: Sequence[demoload.ChatResult]) -> list[str]:
    outcomes = collections.Counter(
        (chat.workspace, chat.rank, chat.outcome) for chat in chats
    )
    print("outcomes")
    for (workspace, rank, outcome), count in sorted(outcomes.items()):
        print(f"  {workspace} {rank} {outcome}: {count}")
    prompt_tokens = sum(chat.prompt_tokens for chat in chats)
    cached_tokens = sum(chat.cached_tokens for chat in chats)
    hit_rate = cached_tokens / max(1, prompt_tokens)
    print(f"prefix hit rate: {hit_rate:.2f}")
    print("time to first token")
    for rank in (demofleet.URGENT, demofleet.ROUTINE):
        _print_first_token_times(rank, chats)
    faults = []
    failed = sum(chat.outcome != "answered" for chat in chats)
    if failed:
        faults.append(
            f"{failed} of {len(chats)} chats got no complete response"
        )
    if hit_rate == 0.0:
        faults.append("no prompt tokens were read from a cache")
    return faults


def _print_first_token_times(
    rank: str, chats: Sequence[demoload.ChatResult]
) -> None:
    times_s = [
        chat.first_token_s
        for chat in chats
        if chat.rank == rank and chat.outcome == "answered"
    ]
    if not times_s:
        print(f"  {rank}: no response")
        return
    median_ms = 1000 * statistics.median(times_s)
    print(f"  {rank}: median {median_ms:.0f} ms", end="")
    print(f", slowest {1000 * max(times_s):.0f} ms")


def _print_payment(payment: demoload.PaymentResult) -> list[str]:
    statuses = " and ".join(str(status) for status in payment.statuses)
    times = len(payment.recorded_amounts)
    print(
        f"payment sent twice with one key: answered {statuses}, ran "
        + ("once" if times == 1 else f"{times} times")
    )
    if payment.executed_once:
        return []
    return [
        f"the payment ran {times} times and got "
        f"{len(set(payment.bodies))} different response bodies"
    ]
