# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Callers that check what they are answered."""

import random
import typing

import anyio
import attrs
import httpcore

PATIENCE_SECONDS = 6.0
CONNECT_SECONDS = 1.0
PROMISES = frozenset({408, 421, 429, 503})
STREAM, ONCE, REPEATED = "/stream/", "/once/", "/repeated/"
PATHS = (STREAM, STREAM, ONCE)
# A request that ends each engine which begins it, sent again and again.
ENDING = "ends whoever begins it"
ENDING_PAUSE_SECONDS = 0.4
# Engines that it may end: three, and as many as are sent it before all know;
# a store that is away for seconds doubles both.
ENDS_MOST = 10
HOST_HEADER = b"desk.example"


@attrs.define
class Outcome:
    """What became of one attempt.

    :ivar status: 0 where the connection ended without one.
    :ivar is_whole: whether the answer's end was seen.
    :ivar is_sent: whether there was a connection to send it by.
    """

    request: str
    path: str
    key: str
    sent_at: float
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    is_sent: bool = True


class Callers:
    """Sends requests to entries until told to end.

    :param name: begins the ids of its requests; no two may share one, or
        runs of one's requests count for the other's (seen with seed 2).
    :param paths: what is asked for, each as often as it stands there.
    :ivar ports: where entries are asked.
    """

    def __init__(
        self,
        ports: list[int],
        rng: random.Random,
        events: int,
        name: str = "q",
        paths: typing.Sequence[str] = PATHS,
    ) -> None:
        self.ports = ports
        self._paths = paths
        self._name = name
        self._chance = rng
        self._events = events
        self._count = 0
        self.key = "key-0"
        self.outcomes: list[Outcome] = []
        self.faults: list[str] = []

    async def run(self, pause: float) -> None:
        """Send one request after the other, on kept connections too."""
        pool = httpcore.AsyncConnectionPool()
        async with pool:
            while True:
                path = self._chance.choice(self._paths)
                await self.ask(path, pool)
                await anyio.sleep(self._chance.uniform(0.2, 1.8) * pause)

    async def run_ending(self) -> None:
        """Send the same request again and again, under other ids."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await self.ask(STREAM, pool, ENDING.encode())
                await anyio.sleep(ENDING_PAUSE_SECONDS)

    async def ask(
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
        port = self._chance.choice(self.ports)
        try:
            with anyio.move_on_after(PATIENCE_SECONDS):
                await self._exchange(outcome, port, pool, body)
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            outcome.is_sent = False
        except httpcore.NetworkError:
            pass  # no answer is an outcome, and stands as such
        except (httpcore.ProtocolError, httpcore.TimeoutException):
            pass  # an answer that broke off: its body is checked all the same
        self._check(outcome)
        return outcome

    async def _exchange(
        self,
        outcome: Outcome,
        port: int,
        pool: httpcore.AsyncConnectionPool,
        body: bytes,
    ) -> None:
        milliseconds = str(int(PATIENCE_SECONDS * 1000)).encode()
        headers = [
            (b"host", HOST_HEADER),
            (b"x-request-id", outcome.request.encode()),
            (b"x-request-deadline", milliseconds),
            (b"x-token-counts", b"100,40"),
            (b"authorization", f"Token {outcome.key}".encode()),
        ]
        extensions = {"timeout": {"connect": CONNECT_SECONDS}}
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

    def _check(self, outcome: Outcome) -> None:
        if outcome.status != 200:
            return
        request = outcome.request
        if outcome.path != STREAM:
            if outcome.is_whole and outcome.body != request.encode():
                self.faults.append(f"{request}: a foreign or torn answer")
            return
        whole = b"".join(
            f"id: {number}\ndata: {request}:{number}\n\n".encode()
            for number in range(self._events)
        )
        if outcome.is_whole and outcome.body != whole:
            self.faults.append(f"{request}: a wrong stream taken for whole")
        elif not whole.startswith(outcome.body):
            self.faults.append(f"{request}: an event lost, doubled or foreign")

    def judge(self, runs: list[list[str]]) -> typing.Iterator[str]:
        """Yield each promise that was broken, given what ran."""
        yield from self.faults
        ran: dict[str, int] = {}
        for request, _ in runs:
            ran[request] = ran.get(request, 0) + 1
        for outcome in self.outcomes:
            times = ran.get(outcome.request, 0)
            if outcome.path == ONCE and times > 1:
                yield f"{outcome.request}: ran {times} times"
            if outcome.path == ONCE and times and outcome.status in PROMISES:
                yield f"{outcome.request}: {outcome.status}, and it ran"
