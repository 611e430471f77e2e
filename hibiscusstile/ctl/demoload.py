"""Load generator of the demo: streamed chats and a repeated payment."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import secrets
import time
from typing import Any

import aiohttp

from hibiscusstile.ctl import demofleet
from hibiscusstile_standins import text

__all__ = ["ChatResult", "PaymentResult", "run_chats", "run_payment"]

_CHATS_PER_WORKSPACE = 24
_CONCURRENCY = 4
_MEMBERS_PER_WORKSPACE = 3
_ANSWER_WORDS = 12
_PAYMENT_AMOUNT = 125
_PROMPT_PART_CHARS = 12_000
_TIMEOUT = aiohttp.ClientTimeout(total=30)


@dataclasses.dataclass(slots=True)
class ChatResult:
    """Result of one streamed chat, as the caller received it.

    Attributes:
        workspace: The caller's workspace.
        rank: The rank of the workspace's key.
        outcome: `answered`, `wrong_answer`, `no_answer`, the type in the error
            response, or the name of the client's exception.
        first_token_s: Seconds to the first token; 0.0 without one.
        prompt_tokens: Tokens of the prompt.
        cached_tokens: Prompt tokens read from a prefix cache.
    """

    workspace: str
    rank: str
    outcome: str = "no_answer"
    first_token_s: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PaymentResult:
    """Result of a payment sent twice with the same idempotency key.

    Attributes:
        statuses: HTTP status of each response.
        bodies: Body of each response.
        recorded_amounts: Amounts of the payments that the service recorded.
    """

    statuses: tuple[int, ...]
    bodies: tuple[str, ...]
    recorded_amounts: tuple[int, ...]

    @property
    def executed_once(self) -> bool:
        """Whether it ran once and both requests got the same response."""
        return (
            self.recorded_amounts == (_PAYMENT_AMOUNT,)
            and all(status == 201 for status in self.statuses)
            and len(set(self.bodies)) == 1
        )


async def run_chats(fleet: demofleet.DemoFleet) -> list[ChatResult]:
    """Sends streamed chats from all workspaces and returns the results."""
    async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
        pending = collections.deque(
            (workspace, number)
            for number in range(_CHATS_PER_WORKSPACE)
            for workspace in fleet.workspaces
        )
        results: list[ChatResult] = []

        async def send() -> None:
            while pending:
                workspace, number = pending.popleft()
                url = fleet.urls[number % len(fleet.urls)]
                results.append(await _chat(session, url, workspace, number))

        async with asyncio.TaskGroup() as group:
            for _ in range(_CONCURRENCY):
                group.create_task(send())
    return results


async def run_payment(fleet: demofleet.DemoFleet) -> PaymentResult:
    """Sends one payment through two entry instances in turn."""
    workspace = fleet.workspaces[0]
    headers = {
        "Authorization": f"Bearer {workspace.key}",
        "Idempotency-Key": f"demo-{secrets.token_hex(8)}",
    }
    statuses = []
    bodies = []
    async with aiohttp.ClientSession(
        timeout=_TIMEOUT, headers=headers
    ) as session:
        for url in fleet.urls[:2]:
            async with session.post(
                f"{url}/v1/services/{demofleet.APPLICATION}/payments",
                json={"amount": _PAYMENT_AMOUNT},
            ) as response:
                statuses.append(response.status)
                bodies.append(await response.text())
    return PaymentResult(
        tuple(statuses), tuple(bodies), fleet.payments.payments
    )


async def _chat(
    session: aiohttp.ClientSession,
    url: str,
    workspace: demofleet.DemoWorkspace,
    number: int,
) -> ChatResult:
    result = ChatResult(workspace.name, workspace.rank)
    messages = _prompt(workspace.name, number)
    body = {
        "model": demofleet.MODEL,
        "messages": messages,
        "stream": True,
        "max_tokens": _ANSWER_WORDS,
    }
    started_s = time.monotonic()
    words: list[str] = []
    try:
        async with session.post(
            f"{url}/v1/chat/completions",
            json=body,
            headers={"Authorization": f"Bearer {workspace.key}"},
        ) as response:
            if response.status != 200:
                refusal = json.loads(await response.text())
                result.outcome = refusal["error"]["type"]
                return result
            async for line in response.content:
                if not words:
                    result.first_token_s = time.monotonic() - started_s
                _process_event_line(line, words, result)
    except (aiohttp.ClientError, TimeoutError) as error:
        result.outcome = type(error).__name__
        return result
    expected = text.expected_words(messages, _ANSWER_WORDS)
    if result.outcome == "done":
        result.outcome = "answered" if words == expected else "wrong_answer"
    return result


def _process_event_line(
    line: bytes, words: list[str], result: ChatResult
) -> None:
    if not line.startswith(b"data: "):
        return
    data = line[len(b"data: ") :].strip()
    if data == b"[DONE]":
        result.outcome = "done"
        return
    event: dict[str, Any] = json.loads(data)
    if "error" in event:
        result.outcome = event["error"]["type"]
        return
    for choice in event["choices"]:
        if "content" in choice["delta"]:
            words.append(choice["delta"]["content"])
    if "usage" in event:
        usage = event["usage"]
        result.prompt_tokens = usage["prompt_tokens"]
        result.cached_tokens = usage["prompt_tokens_details"]["cached_tokens"]


def _prompt(workspace_name: str, number: int) -> list[dict[str, Any]]:
    """Returns a prompt of common, workspace, member and question parts.

    The first three parts are prefixes that chats share, so that they can be
    read from a cache.
    """
    member = number % _MEMBERS_PER_WORKSPACE
    return [
        {"role": "system", "content": _padded("Grade carob pods with care.")},
        {"role": "system", "content": _padded(f"Rules of {workspace_name}.")},
        {"role": "user", "content": _padded(f"Deliveries of member {member}.")},
        {"role": "user", "content": f"Question {number}: is 12% fine?"},
    ]


def _padded(sentence: str) -> str:
    return (f"{sentence} " * (_PROMPT_PART_CHARS // len(sentence)))[
        :_PROMPT_PART_CHARS
    ]
