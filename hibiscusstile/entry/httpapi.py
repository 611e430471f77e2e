"""HTTP API for callers: chat completions, models and service calls."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
from collections.abc import Awaitable, Callable

import logbook
from aiohttp import hdrs, web

from hibiscusstile import clock as clock_lib
from hibiscusstile import identity, memory, outcome, prefix, settings
from hibiscusstile import request as request_lib
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.configuration import view as view_lib
from hibiscusstile.entry import (
    auth,
    chatrelay,
    chatresponse,
    parsing,
    refusals,
    servicecalls,
)
from hibiscusstile.memory import requestbodies

__all__ = ["HttpApi"]

_log = logbook.Logger("front")

_RANK_HEADER = "Hibiscusstile-Rank"
_IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
_SERVICE_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
_UNCONFIRMED_RETRY_AFTER = datetime.timedelta(seconds=1)
_DEFAULT_RANK = view_lib.Rank(
    "routine",
    level=1,
    share=0.0,
    queue_time=datetime.timedelta(seconds=30),
    first_token_target=datetime.timedelta(seconds=5),
)
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class HttpApi:
    """Request handlers of the callers' port.

    Args:
        limits: Limits on requests.
        budget: Memory for the requests.
        store: Holds the current configuration.
        chat_relay: Serves chat requests.
        service_calls: Serves plain-service calls.
        is_ready: Returns whether the load balancer may send requests.
        is_configuration_current: Returns whether the configuration is the
            newest that any reachable process knows.
        clock: Provides the creation time of responses.
    """

    def __init__(
        self,
        limits: settings.LimitSettings,
        budget: memory.MemoryBudget,
        store: store_lib.ConfigurationStore,
        chat_relay: chatrelay.ChatRelay,
        service_calls: servicecalls.ServiceCallRouter,
        is_ready: Callable[[], bool],
        is_configuration_current: Callable[[], Awaitable[bool]],
        clock: clock_lib.Clock,
    ) -> None:
        self._limits = limits
        self._budget = budget
        self._store = store
        self._chat_relay = chat_relay
        self._service_calls = service_calls
        self._is_ready = is_ready
        self._is_configuration_current = is_configuration_current
        self._clock = clock
        self._active_requests = 0
        self._refuses_new_requests = False

    @property
    def active_requests(self) -> int:
        """Number of requests in progress."""
        return self._active_requests

    def refuse_new_requests(self) -> None:
        """Refuses requests that begin from now on, since the process stops."""
        self._refuses_new_requests = True

    def build_application(self) -> web.Application:
        """Returns the aiohttp application with all routes."""
        app = web.Application(
            client_max_size=self._limits.body_bytes,
            middlewares=[self._handle_errors],
        )
        app.on_response_prepare.append(self._close_unless_ready)
        app.router.add_post("/v1/chat/completions", self._post_chat)
        app.router.add_get("/v1/models", self._get_models)
        app.router.add_get("/ready", self._get_ready)
        app.router.add_get("/live", self._get_live)
        for method in _SERVICE_METHODS:
            app.router.add_route(
                method,
                "/v1/services/{application}/{path:.*}",
                self._call_service,
            )
        return app

    @web.middleware
    async def _handle_errors(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        """Assigns a request id and converts exceptions to error responses."""
        request_id = identity.new_id("req")
        request["request_id"] = request_id
        self._active_requests += 1
        holding = self._budget.open(request.remote or "")
        request["holding"] = holding
        try:
            with holding:
                return await handler(request)
        except outcome.Refused as refused:
            return refusals.to_response(refused.refusal, request_id)
        except web.HTTPException as error:
            refusal = refusals.from_http_error(error)
            return refusals.to_response(refusal, request_id)
        except Exception as error:
            _log.exception("request_failed request={}", request_id)
            refusal = refusals.from_exception(error)
            return refusals.to_response(refusal, request_id)
        finally:
            self._active_requests -= 1

    async def _close_unless_ready(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Closes connections while this instance is not ready.

        The load balancer then opens its next connection to another instance.
        """
        del request
        if not self._is_ready():
            response.force_close()

    async def _get_live(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"live": True})

    async def _get_ready(self, request: web.Request) -> web.Response:
        del request
        is_ready = self._is_ready()
        return web.json_response(
            {"ready": is_ready, "revision": self._store.revision},
            status=200 if is_ready else 503,
        )

    async def _get_models(self, request: web.Request) -> web.Response:
        caller = self._authenticate(request)
        allowed = caller.workspace.models
        model_names = [
            name
            for name in sorted(self._store.view.models)
            if not allowed or name in allowed
        ]
        return web.json_response(
            {
                "object": "list",
                "data": [
                    {"id": name, "object": "model"} for name in model_names
                ],
            },
            headers={refusals.REQUEST_ID_HEADER: request["request_id"]},
        )

    async def _post_chat(self, request: web.Request) -> web.StreamResponse:
        self._check_accepting()
        await self._check_configuration()
        caller = self._authenticate(request)
        body = await self._read_body(request, caller)
        chat = parsing.parse_chat(
            body, max_image_bytes=self._limits.image_bytes
        )
        pending = self._build_pending_chat(request["request_id"], caller, chat)
        async with contextlib.aclosing(self._chat_relay.run(pending)) as events:
            if chat.stream:
                return await chatresponse.send_stream(request, pending, events)
            return await chatresponse.build_complete(pending, events)

    async def _call_service(self, request: web.Request) -> web.Response:
        self._check_accepting()
        await self._check_configuration()
        caller = self._authenticate(request)
        name = request.match_info["application"]
        application = self._find_application(caller.workspace, name)
        idempotency_key = parsing.parse_idempotency_key(
            request.headers.getall(_IDEMPOTENCY_KEY_HEADER, [])
        )
        if (
            idempotency_key is None
            and request.method in application.key_required_methods
        ):
            raise _refused(
                outcome.Reason.BAD_REQUEST,
                f"{request.method} calls need an Idempotency-Key",
            )
        body = await self._read_body(request, caller)
        call = request_lib.ServiceCall(
            name,
            request.method,
            request.rel_url.raw_path.split("/", 4)[4],
            request.rel_url.raw_query_string,
            request.headers.get(hdrs.CONTENT_TYPE, ""),
            body,
            idempotency_key,
        )
        reply = await self._service_calls.run(
            servicecalls.PendingCall(
                request["request_id"],
                caller.workspace.name,
                caller.key.caller or caller.key.key_id,
                caller.rank,
                application,
                call,
            )
        )
        return web.Response(
            status=reply.reply.status,
            body=reply.reply.body,
            headers={
                hdrs.CONTENT_TYPE: reply.reply.content_type,
                refusals.REQUEST_ID_HEADER: request["request_id"],
                refusals.VERDICT_HEADER: outcome.Verdict.RAN.value,
            },
        )

    def _check_accepting(self) -> None:
        """Refuses requests that the end of the process might cut.

        Raises:
            Refused: `leaving`, if the process accepts no new requests.
        """
        if self._refuses_new_requests:
            raise _refused(
                outcome.Reason.LEAVING, "this instance is shutting down"
            )

    async def _check_configuration(self) -> None:
        """Refuses requests while the configuration may be outdated.

        Raises:
            Refused: `not_ready`, if neither a peer nor the log confirms the
                configuration.
        """
        if not await self._is_configuration_current():
            raise _refused(
                outcome.Reason.NOT_READY,
                "the configuration cannot be confirmed as current",
                _UNCONFIRMED_RETRY_AFTER,
            )

    def _authenticate(self, request: web.Request) -> auth.Caller:
        if self._store.revision < 0:
            raise _refused(
                outcome.Reason.NOT_READY, "no configuration has been loaded yet"
            )
        if self._active_requests > self._limits.concurrent_requests:
            raise _refused(
                outcome.Reason.OVERLOADED,
                "this instance already serves its limit of requests",
            )
        return auth.authenticate(
            self._store.view,
            request.headers.get(hdrs.AUTHORIZATION, ""),
            request.headers.get(_RANK_HEADER, ""),
        )

    async def _read_body(
        self, request: web.Request, caller: auth.Caller
    ) -> bytes:
        """Returns the body of a request whose caller may send it.

        Raises:
            Refused: The body is malformed, too large or late, or there is no
                room for it.
        """
        holding: memory.Holding = request["holding"]
        holding.owner = caller.key.key_id
        try:
            async with asyncio.timeout(self._limits.body_timeout_s) as read:
                return await requestbodies.receive_body(
                    request, holding, self._limits.body_bytes, read
                )
        except requestbodies.BodyTooLarge:
            raise _refused(
                outcome.Reason.TOO_LARGE,
                "the request body exceeds the size limit",
            ) from None
        except requestbodies.MemoryShort:
            raise outcome.Refused(self._budget.refusal()) from None
        except web.RequestPayloadError:
            raise _refused(
                outcome.Reason.BAD_REQUEST,
                "the encoding of the request body is malformed",
            ) from None
        except TimeoutError:
            if holding.ended:
                raise outcome.Refused(self._budget.refusal()) from None
            raise _refused(
                outcome.Reason.SLOW_CLIENT,
                "the request body did not arrive within the time limit",
            ) from None

    def _build_pending_chat(
        self,
        request_id: str,
        caller: auth.Caller,
        chat: request_lib.ChatRequest,
    ) -> chatrelay.PendingChat:
        view = self._store.view
        model = self._find_model(caller.workspace, chat)
        rank = view.ranks.get(caller.rank, _DEFAULT_RANK)
        scope = identity.CacheScope(
            caller.workspace.name,
            chat.model,
            chat.adapter,
            model.weights_version,
        )
        levels = prefix.prefix_levels(scope, chat.messages)
        if levels[-1].tokens + chat.max_tokens > model.context_tokens:
            raise _refused(
                outcome.Reason.BAD_REQUEST,
                f"prompt and max_tokens exceed {model.context_tokens} tokens",
            )
        work_item = request_lib.WorkItem(
            request_id,
            caller.workspace.name,
            caller.key.caller or chat.user or caller.key.key_id,
            caller.rank,
            chat.model,
            chat.adapter,
            levels,
            levels[-1].tokens,
            chat.max_tokens,
        )
        return chatrelay.PendingChat(
            work_item,
            chat,
            caller.workspace.policy,
            rank.level,
            rank.queue_time,
            int(self._clock.now().timestamp()),
        )

    def _find_model(
        self, workspace: view_lib.Workspace, chat: request_lib.ChatRequest
    ) -> view_lib.Model:
        model = self._store.view.models.get(chat.model)
        allowed = not workspace.models or chat.model in workspace.models
        if model is None or not allowed:
            raise _refused(
                outcome.Reason.NOT_FOUND, f"unknown model {chat.model!r}"
            )
        if chat.adapter and chat.adapter not in model.adapters:
            raise _refused(
                outcome.Reason.NOT_FOUND, f"unknown adapter {chat.adapter!r}"
            )
        return model

    def _find_application(
        self, workspace: view_lib.Workspace, name: str
    ) -> view_lib.Application:
        application = self._store.view.applications.get(name)
        allowed = not workspace.applications or name in workspace.applications
        if application is None or not allowed:
            raise _refused(
                outcome.Reason.NOT_FOUND, f"unknown application {name!r}"
            )
        return application


def _refused(
    reason: outcome.Reason,
    message: str,
    retry_after: datetime.timedelta | None = None,
) -> outcome.Refused:
    return outcome.Refused(
        outcome.Refusal(reason, message, retry_after=retry_after)
    )
