# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""``crowdeck demo``: the whole system on loopback, with its failures."""

import sys

import anyio
import httpcore
import orjson

from crowdeck.observe import counters
from crowdeck.sidecar import sidecar as sidecars
from crowdeck.standin import cluster as clusters
from crowdeck.standin import model as models

ANSWER_TOKENS = 40
KILL_AT = 12
DRAIN_AT = 10
SHOWN_COUNTERS = (
    "entry.requests",
    "drive.attempts",
    "drive.retried",
    "drive.moved",
    "head.tokens",
    "calls.begun",
    "calls.answered_again",
    "claims.written",
    "turns.granted",
    "entry.answer_not_whole",
)


class DemoFailed(Exception):
    """Something that the demo shows did not hold."""


async def run(stay: bool) -> str:
    """Run the demo and return what failed, or nothing."""
    async with clusters.Cluster() as cluster:
        _say(
            f"{len(cluster.entries)} entries and {len(cluster.sidecars)} "
            "sidecars run, over TCP on loopback."
        )
        try:
            await Demo(cluster).show_all()
        except DemoFailed as error:
            return str(error)
        _show_counters()
        if stay:
            await _stay(cluster)
    return ""


class Demo:
    """The steps of the demo, on one running cluster."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self._cluster = cluster

    async def show_all(self) -> None:
        """Show every step; raises :class:`DemoFailed` at the first fault."""
        await self.show_answer()
        await self.show_receipt()
        await self.show_stage_death()
        await self.show_drain()

    async def show_answer(self) -> None:
        """Stream an answer to the terminal."""
        _say("\n1. An answer, streamed through three stages:")
        await self._stream("why did the recharge fail", None, 0)

    async def show_receipt(self) -> None:
        """Fetch a receipt twice with one key, at two entries."""
        _say("\n2. A receipt, fetched twice with one key at two entries:")
        first = await self._fetch_receipt(0)
        second = await self._fetch_receipt(1)
        runs = self._cluster.service.runs["receipt 81"]
        _say(f"   {first!r} and {second!r}; the service ran {runs} time")
        if first != second or runs != 1:
            raise DemoFailed("the receipt was not fetched exactly once")

    async def show_stage_death(self) -> None:
        """Kill a stage in the middle of an answer."""
        _say(f"\n3. A stage is killed after token {KILL_AT}:")
        await self._stream("draft a short reply", self._kill_stage, KILL_AT)

    async def show_drain(self) -> None:
        """Drain a stage in the middle of an answer."""
        _say(f"\n4. A stage begins a planned stop after token {DRAIN_AT}:")
        await self._stream("summarise the dispute", self._drain, DRAIN_AT)

    def _kill_stage(self) -> None:
        name = self._busy(1)
        sys.stdout.write(f"[{name} dies] ")
        self._cluster.kill(name)
        self._cluster.unlist(name)

    def _drain(self) -> None:
        name = self._busy(2)
        sys.stdout.write(f"[{name} leaves] ")
        part = self._cluster.sidecars[name].running.part
        part.begin_drain(5.0)

    def _busy(self, stage: int) -> str:
        """Return the sidecar of a stage that runs the answer."""
        for name in self._cluster.stage_names(stage):
            member = self._cluster.sidecars[name]
            part = member.running.part
            assert isinstance(part, sidecars.Sidecar)
            if member.is_alive and part.running:
                return name
        raise DemoFailed(f"no stage {stage} runs the answer")

    async def _stream(self, prompt: str, event: object, event_at: int) -> None:
        texts: list[str] = []
        sys.stdout.write("   ")
        async for text in stream(self._cluster.urls[0], prompt):
            texts.append(text)
            sys.stdout.write(text)
            sys.stdout.flush()
            if callable(event) and len(texts) == event_at:
                event()
        sys.stdout.write("\n")
        expected = expect(self._cluster.model, prompt)
        if texts != expected:
            raise DemoFailed("the answer is not what the model says")
        _say(f"   {len(texts)} tokens, each the one the whole model gives.")

    async def _fetch_receipt(self, entry: int) -> str:
        url = self._cluster.urls[entry] + "/services/records/receipts/81"
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                "POST",
                url,
                headers=[
                    (b"authorization", _bearer()),
                    (b"idempotency-key", b"sale-81"),
                ],
            )
        if response.status != 200:
            raise DemoFailed(response.content.decode())
        return response.content.decode().strip()


def expect(model: models.StandinModel, prompt: str) -> list[str]:
    """Return the right answer's texts for a user's message."""
    choices = model.answer(f"user: {prompt}", ANSWER_TOKENS)
    return [choice.text for choice in choices]


async def stream(url: str, prompt: str):  # type: ignore[no-untyped-def]
    """Yield an answer's texts as they come."""
    body = {
        "model": clusters.MODEL,
        "stream": True,
        "max_tokens": ANSWER_TOKENS,
        "messages": [{"role": "user", "content": prompt}],
    }
    async with httpcore.AsyncConnectionPool() as pool:
        async with pool.stream(
            "POST",
            url + "/v1/chat/completions",
            headers=[(b"authorization", _bearer())],
            content=orjson.dumps(body),
        ) as response:
            buffered = b""
            async for chunk in response.aiter_stream():
                buffered += chunk
                *events, buffered = buffered.split(b"\n\n")
                for event in events:
                    text = _event_text(event)
                    if text:
                        yield text


def _event_text(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(b"data: {"):
            body = orjson.loads(line[len(b"data: ") :])
            if "error" in body:
                raise DemoFailed(str(body["error"]))
            return str(body["choices"][0]["delta"].get("content", ""))
    return ""


def _bearer() -> bytes:
    return f"Bearer {clusters.KIOSKS_KEY}".encode()


def _show_counters() -> None:
    _say("\nCounters of all processes together:")
    for name in SHOWN_COUNTERS:
        _say(f"   {name:<26}{counters.COUNTERS.get(name):>8}")


async def _stay(cluster: clusters.Cluster) -> None:
    _say("\nThe system stays up; end it with Ctrl-C. Talk to it with:\n")
    _say(
        f"curl -N {cluster.urls[0]}/v1/chat/completions \\\n"
        f"  -H 'Authorization: Bearer {clusters.KIOSKS_KEY}' \\\n"
        f'  -d \'{{"model": "{clusters.MODEL}", "stream": true, '
        '"max_tokens": 20, "messages": [{"role": "user", '
        '"content": "hello"}]}\'\n'
    )
    _say(f"crowdeck --platform {cluster.store_url} status")
    await anyio.sleep_forever()


def _say(line: str) -> None:
    print(line, flush=True)
