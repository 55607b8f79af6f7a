# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""``crowdeck demo``: a small system on loopback that survives failures."""

import sys

import anyio
import httpcore
import orjson

from crowdeck.observe import counters
from crowdeck.sidecar import sidecar as sidecars
from crowdeck.standin import cluster as clusters
from crowdeck.standin import model as models

ANSWER_TOKENS = 40
KILL_AFTER_TOKENS = 12
DRAIN_AFTER_TOKENS = 10
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
    """A step of the demo did not give the expected result."""


async def run(stay: bool) -> str:
    """Run the demo; return why it failed, or an empty string.

    :param stay: keep the system running afterwards.
    """
    async with clusters.Cluster() as cluster:
        _print(
            f"{len(cluster.entries)} entries and {len(cluster.sidecars)} "
            "sidecars are running, over TCP on loopback."
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
    """The steps of the demo, run on one cluster."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self._cluster = cluster

    async def show_all(self) -> None:
        """Run every step.

        :raises DemoFailed: at the first step that fails.
        """
        await self.show_answer()
        await self.show_receipt()
        await self.show_stage_failure()
        await self.show_drain()

    async def show_answer(self) -> None:
        """Stream an answer to the terminal."""
        _print("\n1. An answer, streamed through three stages:")
        await self._stream("why did the recharge fail", None, 0)

    async def show_receipt(self) -> None:
        """Fetch a receipt at two entries with one idempotency key."""
        _print(
            "\n2. A receipt, fetched at two entries with one idempotency key:"
        )
        first = await self._fetch_receipt(0)
        second = await self._fetch_receipt(1)
        runs = self._cluster.service.runs["receipt 81"]
        _print(f"   {first!r} and {second!r}; service runs: {runs}")
        if first != second or runs != 1:
            raise DemoFailed("the receipt was not fetched exactly once")

    async def show_stage_failure(self) -> None:
        """Kill a stage in the middle of an answer."""
        _print(f"\n3. A stage is killed after token {KILL_AFTER_TOKENS}:")
        await self._stream(
            "draft a short reply", self._kill_stage, KILL_AFTER_TOKENS
        )

    async def show_drain(self) -> None:
        """Drain a stage in the middle of an answer."""
        _print(f"\n4. A stage is drained after token {DRAIN_AFTER_TOKENS}:")
        await self._stream(
            "summarise the dispute", self._drain_stage, DRAIN_AFTER_TOKENS
        )

    def _kill_stage(self) -> None:
        name = self._find_running_sidecar(1)
        sys.stdout.write(f"[{name} is killed] ")
        self._cluster.kill(name)
        self._cluster.unlist(name)

    def _drain_stage(self) -> None:
        name = self._find_running_sidecar(2)
        sys.stdout.write(f"[{name} drains] ")
        component = self._cluster.sidecars[name].running.component
        component.begin_drain(5.0)

    def _find_running_sidecar(self, stage: int) -> str:
        """Return the name of the sidecar that runs a stage of the answer."""
        for name in self._cluster.stage_names(stage):
            member = self._cluster.sidecars[name]
            component = member.running.component
            assert isinstance(component, sidecars.Sidecar)
            if member.is_alive and component.running:
                return name
        raise DemoFailed(
            f"no running sidecar of stage {stage} serves the answer"
        )

    async def _stream(
        self, prompt: str, action: object, after_tokens: int
    ) -> None:
        texts: list[str] = []
        sys.stdout.write("   ")
        async for text in stream(self._cluster.urls[0], prompt):
            texts.append(text)
            sys.stdout.write(text)
            sys.stdout.flush()
            if callable(action) and len(texts) == after_tokens:
                action()
        sys.stdout.write("\n")
        expected = expected_texts(self._cluster.model, prompt)
        if texts != expected:
            raise DemoFailed("the answer differs from the expected tokens")
        _print(f"   {len(texts)} tokens, all as expected.")

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
            raise DemoFailed(
                f"the receipt was answered with status {response.status}; "
                f"expected 200: {response.content.decode()}"
            )
        return response.content.decode().strip()


def expected_texts(model: models.StandinModel, prompt: str) -> list[str]:
    """Return the texts of the correct answer to a user's message."""
    choices = model.answer(f"user: {prompt}", ANSWER_TOKENS)
    return [choice.text for choice in choices]


async def stream(url: str, prompt: str):  # type: ignore[no-untyped-def]
    """Yield the texts of an answer as they arrive."""
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
    _print("\nCounters of all processes:")
    for name in SHOWN_COUNTERS:
        _print(f"   {name:<26}{counters.COUNTERS.get(name):>8}")


async def _stay(cluster: clusters.Cluster) -> None:
    _print("\nThe system keeps running; stop it with Ctrl-C. Try:\n")
    _print(
        f"curl -N {cluster.urls[0]}/v1/chat/completions \\\n"
        f"  -H 'Authorization: Bearer {clusters.KIOSKS_KEY}' \\\n"
        f'  -d \'{{"model": "{clusters.MODEL}", "stream": true, '
        '"max_tokens": 20, "messages": [{"role": "user", '
        '"content": "hello"}]}\'\n'
    )
    _print(f"crowdeck --platform {cluster.store_url} status")
    await anyio.sleep_forever()


def _print(line: str) -> None:
    print(line, flush=True)
