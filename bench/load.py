# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Callers: open-loop arrivals, and what each of them saw."""

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
LONGEST = 96
RECONNECTS = 6
RECONNECT_SECONDS = 0.2
READ_TIMEOUT = 120.0


@attrs.define(eq=False)
class Answer:
    """One model request, as its caller saw it."""

    team: int
    prompt: str
    wanted: int
    asked_at: float
    texts: list[str] = attrs.field(factory=list)
    times: list[float] = attrs.field(factory=list)
    finish: str = ""
    code: str = ""
    verdict: str = ""
    last_id: str = ""

    @property
    def is_whole(self) -> bool:
        """Whether the answer came to its end."""
        return bool(self.finish)

    @property
    def gaps(self) -> list[float]:
        """Seconds between tokens."""
        return [
            b - a for a, b in zip(self.times, self.times[1:], strict=False)
        ]


@attrs.define(eq=False)
class Call:
    """One plain call, as its caller saw it."""

    number: int
    has_key: bool
    status: int = 0
    verdict: str = ""
    body: str = ""


def lengths(randomness: random.Random) -> int:
    """Return a heavy-tailed answer length."""
    spread = 0.8
    mean = math.log(MEAN_TOKENS) - spread**2 / 2
    return max(4, min(LONGEST, round(randomness.lognormvariate(mean, spread))))


class Callers:
    """Makes requests on a schedule that does not wait for answers."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        seed: int,
        requests_per_s: float,
        greedy: float,
    ) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._rate = requests_per_s
        self._greedy = greedy
        self.answers: list[Answer] = []
        self.calls: list[Call] = []

    async def run(self, seconds: float) -> None:
        """Make requests for so long, then wait until all have ended."""
        async with anyio.create_task_group() as tasks:
            until = time.monotonic() + seconds
            at = time.monotonic()
            while at < until:
                at += self._random.expovariate(self._rate)
                await anyio.sleep(max(0.0, at - time.monotonic()))
                self._begin(tasks)

    def _begin(self, tasks: anyio.abc.TaskGroup) -> None:
        # Team 0 is large, or greedy; two more are middling.
        weights = [3.0 * self._greedy, 2.0, 2.0]
        weights += [1.0] * (self._fleet.shape.team_count - len(weights))
        team = self._random.choices(range(len(weights)), weights)[0]
        answer = Answer(
            team=team,
            prompt=self._prompt(team),
            wanted=lengths(self._random),
            asked_at=time.monotonic(),
        )
        self.answers.append(answer)
        tasks.start_soon(self._ask, answer)
        if self._fleet.shape.services and self._random.random() < 0.3:
            call = Call(len(self.calls), self._random.random() < 0.5)
            self.calls.append(call)
            tasks.start_soon(self._call, call, team)

    def _prompt(self, team: int) -> str:
        """Return a conversation's prompt: a shared prefix, a new end."""
        conversation = self._random.randrange(20)
        history = min(200, int(self._random.paretovariate(1.3) * 8))
        words = [f"t{team}c{conversation}w{n}" for n in range(history)]
        return " ".join((*words, f"q{len(self.answers)}"))

    def _pick_entry(self, tried: int) -> str:
        urls = self._fleet.entry_urls
        return urls[(self._random.randrange(len(urls)) + tried) % len(urls)]

    async def _ask(self, answer: Answer) -> None:
        """Read an answer, coming back with its last event id if cut."""
        for tried in range(RECONNECTS):
            with contextlib.suppress(OSError, anyio.EndOfStream):
                with anyio.move_on_after(READ_TIMEOUT):
                    await self._read(answer, self._pick_entry(tried))
            if answer.is_whole or answer.code:
                return
            await anyio.sleep(RECONNECT_SECONDS)

    async def _read(self, answer: Answer, url: str) -> None:
        body = orjson.dumps(
            {
                "model": fleets.MODEL,
                "prompt": answer.prompt,
                "stream": True,
                "max_tokens": answer.wanted,
            }
        )
        headers = ""
        if answer.last_id:
            headers = f"last-event-id: {answer.last_id}\r\n"
        request = _request(
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
                if self._take(answer, event, now):
                    return
            buffered += await stream.receive()

    def _take(self, answer: Answer, event: bytes, now: float) -> bool:
        """Take one event; true for the last one."""
        # Chunks' lengths stand on lines of their own between events.
        at = event.find(b"data: ")
        if at < 0:
            return False
        data = event[at + 6 :]
        if data.startswith(b"[DONE]"):
            return True
        if b'"error"' in data[:9]:
            error = orjson.loads(data)["error"]
            answer.code, answer.verdict = error["code"], error["verdict"]
            return True
        choice = orjson.loads(data)["choices"][0]
        if choice["finish_reason"]:
            answer.finish = choice["finish_reason"]
            return False
        start = event.find(b"id: ")
        answer.last_id = event[start + 4 : at - 1].decode()
        answer.texts.append(choice["text"])
        answer.times.append(now)
        return False

    async def _call(self, call: Call, team: int) -> None:
        """Make a call, asking again with its key while none answers."""
        key = f"idempotency-key: key-{call.number}\r\n" if call.has_key else ""
        path = f"/services/records/receipts/{call.number}"
        for tried in range(RECONNECTS):
            url = self._pick_entry(tried)
            with contextlib.suppress(OSError, anyio.EndOfStream):
                with anyio.move_on_after(READ_TIMEOUT):
                    await self._read_call(call, url, path, team, key)
            if call.status == 200 or not call.has_key:
                return
            await anyio.sleep(RECONNECT_SECONDS)

    async def _read_call(
        self, call: Call, url: str, path: str, team: int, key: str
    ) -> None:
        async with await _connect(url) as stream:
            await stream.send(_request("POST", path, team, key, b""))
            head, rest = await _read_head(stream)
            body = await _read_rest(stream, rest)
            call.status = int(head.split(b" ", 2)[1])
            call.body = body.decode(errors="replace")
            call.verdict = ""
            if call.status != 200:
                call.verdict = orjson.loads(body)["error"]["verdict"]


def _request(
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
