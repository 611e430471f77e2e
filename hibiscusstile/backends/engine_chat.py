"""Model engines with a chat-completions protocol."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pydantic

from hibiscusstile import backends, outcome, request

__all__ = ["EngineChat", "EngineChatUnfenced"]

_CONTROL_TIMEOUT = aiohttp.ClientTimeout(total=5.0)
_ORDER_TIMEOUT = aiohttp.ClientTimeout(total=60.0)
_STREAM_TIMEOUT = aiohttp.ClientTimeout(total=None, connect=2.0)


class _Event(pydantic.BaseModel):
    number: int = 0
    kind: backends.BlockEventKind
    salt: str
    digest: int
    tokens: int


class _Events(pydantic.BaseModel):
    incarnation: str
    events: list[_Event]
    last_number: int = -1


class _Load(pydantic.BaseModel):
    running: int
    waiting: int
    prefill_tokens: int


class _Health(pydantic.BaseModel):
    incarnation: str
    model: str
    weights_version: str
    adapters: list[str]
    role: str
    fencing_number: int


class _Frame(pydantic.BaseModel):
    """One server-sent event of a generation."""

    event: str
    text: str = ""
    incarnation: str = ""
    cached_tokens: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    finish_reason: str = ""


@backends.backend_kinds.register()
class EngineChat(backends.EngineBackend):
    """An engine that refuses orders with an old fencing number."""

    name = "engine_chat"
    checks_fencing = True

    def __init__(self, url: str) -> None:
        super().__init__(url)
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    async def generate(
        self, order: backends.GenerateOrder
    ) -> AsyncIterator[backends.EngineEvent]:
        """Yields one `EngineStarted`, texts, and one `EngineEnd`."""
        try:
            async with self._open_session().post(
                f"{self._url}/v1/chat/completions",
                json=_generate_body(order),
                timeout=_STREAM_TIMEOUT,
            ) as response:
                if response.status != 200:
                    raise outcome.Refused(await _status_refusal(response))
                async for line in response.content:
                    event = _parse_line(line)
                    if event is not None:
                        yield event
                    if isinstance(event, backends.EngineEnd):
                        return
        except aiohttp.ClientConnectorError:
            raise outcome.Refused(
                outcome.Refusal(
                    outcome.Reason.BACKEND_FAILED,
                    "the engine accepts no connection",
                )
            ) from None
        except (aiohttp.ClientError, TimeoutError) as error:
            raise outcome.Refused(_broken(repr(error))) from None
        raise outcome.Refused(_broken("ended early"))

    async def cancel(self, attempt_id: str) -> None:
        """Cancels work; unknown or ended work is ignored."""
        await self._post(f"/v1/cancel/{attempt_id}", {}, _CONTROL_TIMEOUT)

    async def cache_events(self, after: int) -> backends.CacheEvents | None:
        """Returns events numbered above `after`, None when unreachable."""
        return _to_events(await self._get(f"/cache/events?after={after}"))

    async def cache_blocks(self) -> backends.CacheEvents | None:
        """Returns all cached blocks as stored events."""
        return _to_events(await self._get("/cache/blocks"))

    async def load(self) -> backends.EngineLoad | None:
        """Returns the lagging load report, None when unreachable."""
        body = await self._get("/load")
        if body is None:
            return None
        return backends.EngineLoad(
            **_Load.model_validate_json(body).model_dump()
        )

    async def health(self) -> backends.EngineHealth | None:
        """Returns the engine's state, None when unreachable."""
        body = await self._get("/health")
        if body is None:
            return None
        page = _Health.model_validate_json(body)
        fields = page.model_dump()
        fields["adapters"] = tuple(page.adapters)
        return backends.EngineHealth(**fields)

    async def order(self, order: backends.EngineOrder) -> backends.OrderResult:
        """Sends an order and waits until it is done or refused."""
        body = {
            "fencing_number": order.fencing_number,
            "model": order.model,
            "weights_version": order.weights_version,
            "adapters": list(order.adapters),
            "role": order.role,
        }
        status, text = await self._post("/orders", body, _ORDER_TIMEOUT)
        if status == 200:
            return backends.OrderResult(True)
        return backends.OrderResult(False, f"engine answered {status}: {text}")

    async def export_kv(self, salt: str, digest: int) -> bytes | None:
        """Returns the KV cache of a prefix, None when it is not held."""
        return await self._get(f"/kv/{digest}?salt={salt}")

    async def import_kv(self, salt: str, digest: int, data: bytes) -> bool:
        """Imports the KV cache of a prefix; False when refused."""
        try:
            async with self._open_session().put(
                f"{self._url}/kv/{digest}?salt={salt}",
                data=data,
                timeout=_CONTROL_TIMEOUT,
            ) as response:
                return response.status in (200, 201, 204)
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def close(self) -> None:
        """Closes connections."""
        if self._session is not None:
            await self._session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            )
        return self._session

    async def _get(self, path: str) -> bytes | None:
        try:
            async with self._open_session().get(
                self._url + path, timeout=_CONTROL_TIMEOUT
            ) as response:
                if response.status != 200:
                    return None
                return await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def _post(
        self, path: str, body: dict[str, Any], limits: aiohttp.ClientTimeout
    ) -> tuple[int, str]:
        try:
            async with self._open_session().post(
                self._url + path, json=body, timeout=limits
            ) as response:
                return response.status, await response.text()
        except (aiohttp.ClientError, TimeoutError) as error:
            return 0, repr(error)


@backends.backend_kinds.register()
class EngineChatUnfenced(EngineChat):
    """An engine that ignores fencing numbers."""

    name = "engine_chat_unfenced"
    checks_fencing = False


def _generate_body(order: backends.GenerateOrder) -> dict[str, Any]:
    return {
        "attempt_id": order.attempt_id,
        "model": order.chat.model,
        "adapter": order.chat.adapter,
        "weights_version": order.weights_version,
        "messages": [_message_body(m) for m in order.chat.messages],
        "max_tokens": order.chat.max_tokens,
        "priority": order.priority,
        "cache_salt": order.cache_salt,
        "resume_text": order.resume_text,
        "prefix_levels": [
            {"digest": level.digest, "tokens": level.tokens}
            for level in order.prefix_levels
        ],
        "stream": True,
    }


def _message_body(message: request.Message) -> dict[str, Any]:
    return {
        "role": message.role,
        "content": [_part_body(part) for part in message.parts],
    }


def _part_body(part: request.ContentPart) -> dict[str, Any]:
    body: dict[str, Any]
    if part.kind is request.PartKind.IMAGE:
        body = {"type": "image_url", "image_url": {"url": part.text}}
    else:
        body = {"type": "text", "text": part.text}
    if part.breakpoint:
        body["cache_control"] = {"type": "ephemeral"}
    return body


def _parse_line(line: bytes) -> backends.EngineEvent | None:
    if not line.startswith(b"data: "):
        return None
    try:
        frame = _Frame.model_validate_json(line[len(b"data: ") :])
    except pydantic.ValidationError:
        raise outcome.Refused(_broken("malformed event")) from None
    if frame.event == "started":
        return backends.EngineStarted(frame.cached_tokens, frame.incarnation)
    if frame.event == "text":
        return backends.EngineText(frame.text)
    if frame.event == "end":
        return backends.EngineEnd(
            frame.finish_reason,
            frame.prompt_tokens,
            frame.cached_tokens,
            frame.completion_tokens,
        )
    return None


async def _status_refusal(
    response: aiohttp.ClientResponse,
) -> outcome.Refusal:
    text = (await response.text())[:200]
    try:
        message = str(json.loads(text).get("message", ""))
    except (ValueError, AttributeError):
        message = ""
    reason = outcome.Reason.BACKEND_FAILED
    if response.status == 409:
        reason = outcome.Reason.NOT_LOADED
    return outcome.Refusal(
        reason, f"the engine answered {response.status} {message}".strip()
    )


def _broken(detail: str) -> outcome.Refusal:
    return outcome.Refusal(
        outcome.Reason.BACKEND_FAILED,
        f"the engine's stream broke: {detail}",
        outcome.Verdict.MAY_HAVE_RUN,
    )


def _to_events(body: bytes | None) -> backends.CacheEvents | None:
    if body is None:
        return None
    page = _Events.model_validate_json(body)
    return backends.CacheEvents(
        page.incarnation,
        tuple(backends.BlockEvent(**e.model_dump()) for e in page.events),
        page.last_number,
    )
