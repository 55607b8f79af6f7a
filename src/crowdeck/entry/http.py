# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The HTTP interface of an entry for its callers."""

import contextlib
import typing
import uuid

import attrs
import orjson
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from crowdeck import contract as contracts
from crowdeck.entry import admission as admissions
from crowdeck.entry import context as context_module
from crowdeck.entry import driver
from crowdeck.entry import keys
from crowdeck.entry import model_answer
from crowdeck.entry import model_request as model_requests
from crowdeck.entry import openai
from crowdeck.entry import replies
from crowdeck.entry import service_calls
from crowdeck.entry import turns
from crowdeck import errors
from crowdeck import header as http_header
from crowdeck.observe import counters
from crowdeck.observe import traces
from crowdeck.settings import holder as settings_holder
from crowdeck import team as teams
from crowdeck.wire import questions

MAX_HEADERS = 100
SERVICE_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE", "HEAD"]
# Headers meant for the entry, which are not forwarded to services.
ENTRY_HEADERS = frozenset(
    {
        "authorization",
        "idempotency-key",
        "x-session-id",
        "x-session-sequence",
        "x-deadline-seconds",
        "traceparent",
        "tracestate",
    }
)


@attrs.frozen
class Limits:
    """Limits on what one caller may send."""

    body_bytes: int = 1_048_576


class CallerApp:
    """The ASGI application of one entry."""

    def __init__(
        self,
        settings: settings_holder.SettingsHolder,
        driver_dependencies: driver.DriverDependencies,
        calls: service_calls.ServiceCalls,
        answer_keys: keys.AnswerKeys,
        session_turns: turns.SessionTurns,
        admission: admissions.Admission,
        tracer: traces.Tracer,
        limits: Limits,
    ) -> None:
        self._settings = settings
        self._driver_dependencies = driver_dependencies
        self._calls = calls
        self._keys = answer_keys
        self._turns = session_turns
        self._admission = admission
        self._tracer = tracer
        self._limits = limits

    def build(self) -> applications.Starlette:
        """Return the ASGI application."""
        post = ["POST"]
        return applications.Starlette(
            routes=[
                routing.Route(
                    "/v1/chat/completions", self._handle_chat, methods=post
                ),
                routing.Route(
                    "/v1/completions", self._handle_completion, methods=post
                ),
                routing.Route("/v1/models", self._handle_models),
                routing.Route("/healthz", self._handle_health),
                routing.Route("/readyz", self._handle_readiness),
                routing.Route(
                    "/services/{service}/{path:path}",
                    self._handle_service_call,
                    methods=SERVICE_METHODS,
                ),
            ],
            exception_handlers={
                errors.CrowdeckError: _handle_error,
                requests.ClientDisconnect: _handle_disconnect,
            },
        )

    async def _handle_health(
        self, request: requests.Request
    ) -> responses.Response:
        """Check that this entry has settings and is not leaving."""
        is_ready = self._settings.has_tree and not self._admission.is_leaving
        return responses.PlainTextResponse(
            "ready" if is_ready else "not ready", 200 if is_ready else 503
        )

    async def _handle_readiness(
        self, request: requests.Request
    ) -> responses.Response:
        """Check that this entry has settings and a usable sidecar."""
        usable = len(self._driver_dependencies.fleet.usable)
        is_ready = self._settings.has_tree and usable > 0
        body = {
            "usable": usable,
            "generation": self._settings.generation,
            "counters": counters.COUNTERS.as_dict(),
        }
        return responses.Response(
            orjson.dumps(body),
            200 if is_ready else 503,
            media_type="application/json",
        )

    async def _handle_models(
        self, request: requests.Request
    ) -> responses.Response:
        context = self._make_context(request, "models")
        context.span.end()
        settings_scope = context.caller.settings_scope()
        names = [
            name
            for name in self._driver_dependencies.planner.models
            if context.tree.allows_model(settings_scope, name)
        ]
        listed = [
            {"id": name, "object": "model", "created": 0, "owned_by": "-"}
            for name in names
        ]
        return replies.json_response({"object": "list", "data": listed})

    async def _handle_chat(
        self, request: requests.Request
    ) -> responses.Response:
        return await self._handle_model_request(request, is_chat=True)

    async def _handle_completion(
        self, request: requests.Request
    ) -> responses.Response:
        return await self._handle_model_request(request, is_chat=False)

    # Model requests.

    async def _handle_model_request(
        self, request: requests.Request, is_chat: bool
    ) -> responses.Response:
        context = self._make_context(request, "entry")
        with _end_span_on_error(context.span):
            body = openai.parse_body(await self._read_body(request), is_chat)
            event = request.headers.get("last-event-id", "")
            resume = openai.EventId.parse(event) if event else None
            model_request = self._parse_model_request(context, body, resume)
            answer = model_answer.ModelAnswer(
                self._driver_dependencies,
                self._keys,
                self._turns,
                self._admission,
                context,
                body,
                model_request,
                resume,
            )
            if body.is_stream:
                return answer
            return await answer.collect(request)

    def _parse_model_request(
        self,
        context: context_module.RequestContext,
        body: openai.CompletionBody,
        resume: openai.EventId | None,
    ) -> model_requests.ModelRequest:
        settings_scope = context.caller.settings_scope(body.model)
        tree = context.tree
        if not tree.allows_model(settings_scope, body.model):
            raise errors.CrowdeckError(
                errors.Code.FORBIDDEN,
                f"your team may not use model {body.model}",
            )
        limit = tree.integer(settings_scope, "max_tokens")
        if resume is not None:
            request_id = resume.request
        else:
            request_id = uuid.uuid4().hex
        return model_requests.ModelRequest(
            request=request_id,
            team=context.caller.team,
            session=context.caller.session,
            model=body.model,
            adapter="",
            prompt=body.prompt,
            max_tokens=min(body.max_tokens or limit, limit),
            seconds_left=context.seconds_left,
            priority=tree.integer(settings_scope, "priority"),
            window=tree.integer(settings_scope, "window"),
        )

    # Plain services.

    async def _handle_service_call(
        self, request: requests.Request
    ) -> responses.Response:
        context = self._make_context(request, "entry")
        with _end_span_on_error(context.span):
            call = await self._parse_service_call(request, context)
            settings_scope = context.caller.settings_scope(call.service)
            limit = context.tree.integer(settings_scope, "concurrency")
            session = context.session_name
            if not call.contract.is_ordered:
                session = ""
            with self._admission.enter(context.caller.team, limit):
                called = await self._call_in_turn(call, session, context)
        context.span.end("answered")
        return replies.service_response(called)

    async def _call_in_turn(
        self,
        call: service_calls.ServiceCall,
        session: str,
        context: context_module.RequestContext,
    ) -> questions.Called:
        async with self._turns.hold(
            session, call.request, context.sequence, call.deadline
        ):
            return await self._calls.call(call)

    async def _parse_service_call(
        self, request: requests.Request, context: context_module.RequestContext
    ) -> service_calls.ServiceCall:
        service = request.path_params["service"]
        contract = self._require_contract(context, service)
        path = "/" + request.path_params["path"]
        if request.url.query:
            path += "?" + request.url.query
        headers = tuple(
            http_header.Header(name, value)
            for name, value in request.headers.items()
            if name not in ENTRY_HEADERS
        )
        now = self._driver_dependencies.clock.now()
        return service_calls.ServiceCall(
            request=uuid.uuid4().hex,
            team=context.caller.team,
            service=service,
            contract=contract,
            method=request.method,
            path=path,
            headers=headers,
            body=await self._read_body(request),
            key=context.key,
            deadline=now + context.seconds_left,
            traceparent=context.span.traceparent,
        )

    def _require_contract(
        self, context: context_module.RequestContext, service: str
    ) -> contracts.Contract:
        settings_scope = context.caller.settings_scope(service)
        allowed = context.tree.names(settings_scope, "services")
        contract = context.tree.services.get(service)
        # Other teams must not learn whether a service exists.
        if contract is None or not allowed & {service, "*"}:
            raise errors.CrowdeckError(
                errors.Code.NOT_FOUND, f"no service {service} for your team"
            )
        return contract

    # Common to all requests.

    def _make_context(
        self, request: requests.Request, span_name: str
    ) -> context_module.RequestContext:
        if len(request.headers) > MAX_HEADERS:
            raise errors.CrowdeckError(
                errors.Code.TOO_LARGE,
                f"at most {MAX_HEADERS} headers are accepted",
            )
        tree = self._settings.tree
        session = request.headers.get("x-session-id", "")
        caller = teams.authenticate(
            tree, request.headers.get("authorization", ""), session
        )
        settings_scope = caller.settings_scope()
        limit = tree.number(settings_scope, "deadline_seconds")
        requested_seconds = _number_header(
            request, "x-deadline-seconds", limit
        )
        span = self._tracer.begin(
            span_name,
            request.headers.get("traceparent", ""),
            {"team": caller.team},
        )
        counters.COUNTERS.add("entry.requests")
        return context_module.RequestContext(
            caller=caller,
            tree=tree,
            sequence=int(_number_header(request, "x-session-sequence", -1)),
            seconds_left=min(max(requested_seconds, 0.0), limit),
            key=request.headers.get("idempotency-key", ""),
            span=span,
        )

    async def _read_body(self, request: requests.Request) -> bytes:
        limit = self._limits.body_bytes
        # One buffer: pieces of few bytes would take many times their size.
        body = bytearray()
        declared = request.headers.get("content-length", "0")
        if int(declared) > limit:
            raise _too_large_error(limit)
        async for chunk in request.stream():
            body += chunk
            if len(body) > limit:
                raise _too_large_error(limit)
        return bytes(body)


def _too_large_error(limit: int) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.TOO_LARGE, f"the body is over {limit} bytes"
    )


@contextlib.contextmanager
def _end_span_on_error(span: traces.OpenSpan) -> typing.Iterator[None]:
    try:
        yield
    except errors.CrowdeckError as error:
        counters.COUNTERS.add(f"entry.failed.{error.code.lower()}")
        span.end(str(error.code))
        raise


def _number_header(
    request: requests.Request, header: str, default: float
) -> float:
    text = request.headers.get(header)
    if text is None:
        return default
    try:
        return float(text)
    except ValueError:
        raise errors.CrowdeckError(
            errors.Code.BAD_REQUEST, f"'{header}' must be a number"
        ) from None


async def _handle_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    assert isinstance(error, errors.CrowdeckError)
    return replies.error_response(error)


async def _handle_disconnect(
    request: requests.Request, error: Exception
) -> responses.Response:
    """End a request whose caller left before its body was whole."""
    counters.COUNTERS.add("entry.unread")
    return responses.Response(status_code=400)
