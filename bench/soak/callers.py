# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Callers that check the answers they receive."""

import random
import typing

import anyio
import attrs
import httpcore

REQUEST_TIMEOUT_SECONDS = 6.0
CONNECT_TIMEOUT_SECONDS = 1.0
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
STREAM_PATH, ONCE_PATH, IDEMPOTENT_PATH = "/stream/", "/once/", "/repeated/"
PATHS = (STREAM_PATH, STREAM_PATH, ONCE_PATH)
# Body of a request that crashes each engine that runs it.
CRASHING_BODY = "crashes the engine that runs it"
CRASHING_PAUSE_SECONDS = 0.4
# Maximum number of engines that the crashing request may crash before all
# entries refuse it.
CRASH_LIMIT = 10
HOST_HEADER = b"desk.example"


@attrs.define
class Outcome:
    """Outcome of one request.

    :ivar status: 0 where the connection ended without one.
    :ivar is_whole: whether the answer was received to its end.
    :ivar is_sent: whether a connection to the entry was made.
    :ivar port: the port that it was sent to.
    :ivar ended_at: event loop time of its end in seconds, 0 before it.
    """

    request: str
    path: str
    key: str
    sent_at: float
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    is_sent: bool = True
    port: int = 0
    ended_at: float = 0.0


class Callers:
    """Sends requests to entries until cancelled.

    :param name: prefix of the request ids; must differ between callers,
        because runs are counted by request id.
    :param paths: paths to choose from; a repeated path has more weight.
    :param has_own_bodies: whether the bodies of requests differ, or all are
        empty.
    :ivar ports: ports of the entries to send to.
    """

    def __init__(
        self,
        ports: list[int],
        rng: random.Random,
        event_count: int,
        name: str = "q",
        paths: typing.Sequence[str] = PATHS,
        has_own_bodies: bool = False,
    ) -> None:
        self.ports = ports
        self._paths = paths
        self._name = name
        self._has_own_bodies = has_own_bodies
        self._rng = rng
        self._event_count = event_count
        self._count = 0
        self.key = "key-0"
        self.outcomes: list[Outcome] = []
        self.violations: list[str] = []

    async def run(self, mean_pause_seconds: float) -> None:
        """Send one request after another, reusing connections."""
        pool = httpcore.AsyncConnectionPool()
        async with pool:
            while True:
                path = self._rng.choice(self._paths)
                await self.send(path, pool)
                await anyio.sleep(
                    self._rng.uniform(0.2, 1.8) * mean_pause_seconds
                )

    async def run_crashing(self) -> None:
        """Send the crashing request repeatedly, each time under a new id."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await self.send(STREAM_PATH, pool, CRASHING_BODY.encode())
                await anyio.sleep(CRASHING_PAUSE_SECONDS)

    async def send(
        self,
        path: str,
        pool: httpcore.AsyncConnectionPool,
        body: bytes = b"",
    ) -> Outcome:
        """Send one request and check its answer."""
        self._count += 1
        outcome = Outcome(
            f"{self._name}{self._count}", path, self.key, anyio.current_time()
        )
        self.outcomes.append(outcome)
        if self._has_own_bodies and not body:
            body = outcome.request.encode()
        port = outcome.port = self._rng.choice(self.ports)
        try:
            with anyio.move_on_after(REQUEST_TIMEOUT_SECONDS):
                await self._send_and_receive(outcome, port, pool, body)
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            outcome.is_sent = False
        except httpcore.NetworkError:
            pass  # what was received, if anything, is checked below
        except (httpcore.ProtocolError, httpcore.TimeoutException):
            pass  # the same for a truncated answer
        outcome.ended_at = anyio.current_time()
        self._check_answer(outcome)
        return outcome

    async def _send_and_receive(
        self,
        outcome: Outcome,
        port: int,
        pool: httpcore.AsyncConnectionPool,
        body: bytes,
    ) -> None:
        milliseconds = str(int(REQUEST_TIMEOUT_SECONDS * 1000)).encode()
        headers = [
            (b"host", HOST_HEADER),
            (b"x-request-id", outcome.request.encode()),
            (b"x-request-deadline", milliseconds),
            (b"x-token-counts", b"100,40"),
            (b"authorization", f"Token {outcome.key}".encode()),
        ]
        extensions = {"timeout": {"connect": CONNECT_TIMEOUT_SECONDS}}
        async with pool.stream(
            "POST",
            f"http://127.0.0.1:{port}{outcome.path}x",
            headers=headers,
            content=body,
            extensions=extensions,
        ) as response:
            outcome.status = response.status
            async for piece in response.aiter_stream():
                outcome.body += piece
            outcome.is_whole = True

    def _check_answer(self, outcome: Outcome) -> None:
        if outcome.status != 200:
            return
        request = outcome.request
        if outcome.path != STREAM_PATH:
            if outcome.is_whole and outcome.body != request.encode():
                self.violations.append(
                    f"{request}: expected the body {request.encode()!r}, "
                    f"found {outcome.body!r}"
                )
            return
        whole = b"".join(
            f"id: {number}\ndata: {request}:{number}\n\n".encode()
            for number in range(self._event_count)
        )
        if outcome.is_whole and outcome.body != whole:
            self.violations.append(
                f"{request}: expected all {self._event_count} events, "
                f"found {outcome.body!r} in a complete answer"
            )
        elif not whole.startswith(outcome.body):
            self.violations.append(
                f"{request}: expected a prefix of the stream, "
                f"found {outcome.body!r}"
            )

    def find_violations(self, runs: list[list[str]]) -> typing.Iterator[str]:
        """Yield each violated guarantee.

        :param runs: pairs of request id and instance name.
        """
        yield from self.violations
        run_counts: dict[str, int] = {}
        for request, _ in runs:
            run_counts[request] = run_counts.get(request, 0) + 1
        for outcome in self.outcomes:
            run_count = run_counts.get(outcome.request, 0)
            if outcome.path == ONCE_PATH and run_count > 1:
                yield (
                    f"{outcome.request}: expected at most 1 run, "
                    f"found {run_count}"
                )
            if (
                outcome.path == ONCE_PATH
                and run_count
                and outcome.status in NOT_RUN_STATUSES
            ):
                yield (
                    f"{outcome.request}: expected no run after status "
                    f"{outcome.status}, found {run_count}"
                )
