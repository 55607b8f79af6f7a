# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Callers that send requests at an open-loop rate and record the answers."""

import contextlib
import math
import random
import time

import anyio
import anyio.abc
import attrs
import orjson

from bench import fleet as fleets

MEAN_TOKENS = 24
MAX_TOKENS = 96
MAX_ATTEMPTS = 6
RETRY_DELAY_SECONDS = 0.2
READ_TIMEOUT_SECONDS = 120.0


@attrs.define(eq=False)
class Answer:
    """A model request, and its answer as received by the caller.

    :ivar sent_at: monotonic time, as are ``token_times``.
    :ivar code: error code, empty if there was no error.
    """

    team: int
    prompt: str
    max_tokens: int
    sent_at: float
    token_texts: list[str] = attrs.field(factory=list)
    token_times: list[float] = attrs.field(factory=list)
    finish_reason: str = ""
    code: str = ""
    verdict: str = ""
    last_event_id: str = ""

    @property
    def is_complete(self) -> bool:
        """Whether the answer was received to its end."""
        return bool(self.finish_reason)

    @property
    def gap_seconds(self) -> list[float]:
        """Seconds between tokens."""
        return [
            after - before
            for before, after in zip(
                self.token_times, self.token_times[1:], strict=False
            )
        ]


@attrs.define(eq=False)
class Call:
    """A call to a service, and its reply as received by the caller.

    :ivar has_key: whether it has an idempotency key.
    :ivar status: HTTP status, 0 if there was no reply.
    """

    number: int
    has_key: bool
    status: int = 0
    verdict: str = ""
    body: str = ""


def random_length(rng: random.Random) -> int:
    """Return a random answer length in tokens, heavy-tailed."""
    sigma = 0.8
    mu = math.log(MEAN_TOKENS) - sigma**2 / 2
    return max(4, min(MAX_TOKENS, round(rng.lognormvariate(mu, sigma))))


class Callers:
    """Sends requests on a schedule that does not depend on answers.

    :param requests_per_second: mean rate over all teams.
    :param greedy_factor: factor on the requests of team 0.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        seed: int,
        requests_per_second: float,
        greedy_factor: float,
    ) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._requests_per_second = requests_per_second
        self._greedy_factor = greedy_factor
        self.answers: list[Answer] = []
        self.calls: list[Call] = []

    async def run(self, seconds: float) -> None:
        """Send requests for some seconds, then wait until all have ended."""
        async with anyio.create_task_group() as tasks:
            ends_at = time.monotonic() + seconds
            send_at = time.monotonic()
            while send_at < ends_at:
                send_at += self._random.expovariate(self._requests_per_second)
                await anyio.sleep(max(0.0, send_at - time.monotonic()))
                self._start_requests(tasks)

    def _start_requests(self, tasks: anyio.abc.TaskGroup) -> None:
        # Team 0 sends most requests, teams 1 and 2 more than the others.
        weights = [3.0 * self._greedy_factor, 2.0, 2.0]
        weights += [1.0] * (self._fleet.spec.team_count - len(weights))
        team = self._random.choices(range(len(weights)), weights)[0]
        answer = Answer(
            team=team,
            prompt=self._make_prompt(team),
            max_tokens=random_length(self._random),
            sent_at=time.monotonic(),
        )
        self.answers.append(answer)
        tasks.start_soon(self._request_answer, answer)
        if self._fleet.spec.service_count and self._random.random() < 0.3:
            call = Call(len(self.calls), self._random.random() < 0.5)
            self.calls.append(call)
            tasks.start_soon(self._make_call, call, team)

    def _make_prompt(self, team: int) -> str:
        """Return a prompt that may share a prefix with others of the team."""
        conversation = self._random.randrange(20)
        prefix_words = min(200, int(self._random.paretovariate(1.3) * 8))
        words = [f"t{team}c{conversation}w{n}" for n in range(prefix_words)]
        return " ".join((*words, f"q{len(self.answers)}"))

    def _pick_entry(self, attempt: int) -> str:
        urls = self._fleet.entry_urls
        return urls[(self._random.randrange(len(urls)) + attempt) % len(urls)]

    async def _request_answer(self, answer: Answer) -> None:
        """Read an answer; resume it after a connection is lost."""
        for attempt in range(MAX_ATTEMPTS):
            with contextlib.suppress(OSError, anyio.EndOfStream):
                with anyio.move_on_after(READ_TIMEOUT_SECONDS):
                    await self._read_answer(answer, self._pick_entry(attempt))
            if answer.is_complete or answer.code:
                return
            await anyio.sleep(RETRY_DELAY_SECONDS)

    async def _read_answer(self, answer: Answer, url: str) -> None:
        body = orjson.dumps(
            {
                "model": fleets.MODEL,
                "prompt": answer.prompt,
                "stream": True,
                "max_tokens": answer.max_tokens,
            }
        )
        headers = ""
        if answer.last_event_id:
            headers = f"last-event-id: {answer.last_event_id}\r\n"
        request = _encode_request(
            "POST", "/v1/completions", answer.team, headers, body
        )
        async with await _connect(url) as stream:
            await stream.send(request)
            head, rest = await _read_head(stream)
            if b" 200 " not in head[:20]:
                error = orjson.loads(await _read_rest(stream, rest))["error"]
                answer.code = error["code"]
                answer.verdict = error["verdict"]
                return
            await self._read_events(answer, stream, rest)

    async def _read_events(
        self, answer: Answer, stream: anyio.abc.ByteStream, rest: bytes
    ) -> None:
        buffered = rest
        while True:
            *events, buffered = buffered.split(b"\n\n")
            now = time.monotonic()
            for event in events:
                if self._handle_event(answer, event, now):
                    return
            buffered += await stream.receive()

    def _handle_event(self, answer: Answer, event: bytes, now: float) -> bool:
        """Record one event. Return whether it is the last one."""
        # The chunked encoding is not decoded: skips the chunk's size, which
        # precedes the event.
        data_start = event.find(b"data: ")
        if data_start < 0:
            return False
        data = event[data_start + 6 :]
        if data.startswith(b"[DONE]"):
            return True
        # An error event begins with its only field.
        if b'"error"' in data[:9]:
            error = orjson.loads(data)["error"]
            answer.code, answer.verdict = error["code"], error["verdict"]
            return True
        choice = orjson.loads(data)["choices"][0]
        if choice["finish_reason"]:
            answer.finish_reason = choice["finish_reason"]
            return False
        id_start = event.find(b"id: ")
        answer.last_event_id = event[id_start + 4 : data_start - 1].decode()
        answer.token_texts.append(choice["text"])
        answer.token_times.append(now)
        return False

    async def _make_call(self, call: Call, team: int) -> None:
        """Make a call, repeating it on failure if it has a key."""
        key_header = (
            f"idempotency-key: key-{call.number}\r\n" if call.has_key else ""
        )
        path = f"/services/records/receipts/{call.number}"
        for attempt in range(MAX_ATTEMPTS):
            url = self._pick_entry(attempt)
            with contextlib.suppress(OSError, anyio.EndOfStream):
                with anyio.move_on_after(READ_TIMEOUT_SECONDS):
                    await self._read_reply(call, url, path, team, key_header)
            if call.status == 200 or not call.has_key:
                return
            await anyio.sleep(RETRY_DELAY_SECONDS)

    async def _read_reply(
        self, call: Call, url: str, path: str, team: int, key_header: str
    ) -> None:
        async with await _connect(url) as stream:
            await stream.send(
                _encode_request("POST", path, team, key_header, b"")
            )
            head, rest = await _read_head(stream)
            body = await _read_rest(stream, rest)
            call.status = int(head.split(b" ", 2)[1])
            call.body = body.decode(errors="replace")
            call.verdict = ""
            if call.status != 200:
                call.verdict = orjson.loads(body)["error"]["verdict"]


def _encode_request(
    method: str, path: str, team: int, headers: str, body: bytes
) -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nhost: bench\r\n"
        f"authorization: Bearer {fleets.team_key(team)}\r\n{headers}"
        f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
    ).encode() + body


async def _connect(url: str) -> anyio.abc.SocketStream:
    host, _, port = url.removeprefix("http://").partition(":")
    return await anyio.connect_tcp(host, int(port))


async def _read_head(stream: anyio.abc.ByteStream) -> tuple[bytes, bytes]:
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, rest = data.partition(b"\r\n\r\n")
    return head, rest


async def _read_rest(stream: anyio.abc.ByteStream, rest: bytes) -> bytes:
    with contextlib.suppress(anyio.EndOfStream):
        while True:
            rest += await stream.receive()
    return rest
