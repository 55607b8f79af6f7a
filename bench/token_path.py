# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Measures the cost of a token in a system of one entry and three stages.

``python -m bench.token_path`` prints tokens a second, the processor time of
each process per token, and the memory of each idle process.
"""

import argparse
import contextlib
import json
import time

import anyio
import anyio.abc
import orjson

from bench import fleet as fleets

WARM_UP_SECONDS = 1.0


class Reader:
    """Reads streams and counts their tokens."""

    def __init__(self, url: str) -> None:
        host, _, port = url.removeprefix("http://").partition(":")
        self._host, self._port = host, int(port)
        self.tokens = 0

    async def stream_forever(self, number: int) -> None:
        """Request one streamed answer after another."""
        body = orjson.dumps(
            {
                "model": fleets.MODEL,
                "stream": True,
                "max_tokens": 400,
                "messages": [{"role": "user", "content": f"desk {number}"}],
            }
        )
        # Written by hand: an HTTP client needs more processor time per event
        # than the measured processes, and would be the bottleneck.
        request = (
            f"POST /v1/chat/completions HTTP/1.1\r\nhost: bench\r\n"
            f"authorization: Bearer {fleets.team_key(number % 10)}\r\n"
            f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
        ).encode() + body
        while True:
            async with await anyio.connect_tcp(
                self._host, self._port
            ) as stream:
                await stream.send(request)
                with contextlib.suppress(anyio.EndOfStream):
                    while True:
                        data = await stream.receive()
                        self.tokens += data.count(b"id: ")


async def measure(
    fleet: fleets.Fleet, streams: int, seconds: float
) -> dict[str, float]:
    """Return tokens a second, and by process its microseconds per token."""
    reader = Reader(fleet.entry_urls[0])
    async with anyio.create_task_group() as tasks:
        for number in range(streams):
            tasks.start_soon(reader.stream_forever, number)
        await anyio.sleep(WARM_UP_SECONDS)
        before = {
            name: child.cpu_seconds for name, child in fleet.children.items()
        }
        tokens_before, started = reader.tokens, time.monotonic()
        await anyio.sleep(seconds)
        count = reader.tokens - tokens_before
        elapsed = time.monotonic() - started
        microseconds = {
            name: (child.cpu_seconds - before[name]) * 1e6 / max(1, count)
            for name, child in fleet.children.items()
        }
        tasks.cancel_scope.cancel()
    return {"tokens_per_s": count / elapsed, **microseconds}


def main() -> None:
    """Print the measurements as JSON lines."""
    parser = argparse.ArgumentParser(prog="python -m bench.token_path")
    parser.add_argument("--streams", type=int, default=64)
    parser.add_argument("--seconds", type=float, default=6.0)
    options = parser.parse_args()
    fast = fleets.make_kind("fast", 0.05)
    spec = fleets.FleetSpec(kinds=(fast,), service_count=0)
    with fleets.Fleet(spec) as fleet:
        idle = {
            name: round(child.memory_bytes / 1e6, 1)
            for name, child in fleet.children.items()
        }
        metrics = anyio.run(measure, fleet, options.streams, options.seconds)
    print(json.dumps({"idle_mb": idle}))
    print(json.dumps({k: round(v, 1) for k, v in metrics.items()}))


if __name__ == "__main__":
    main()
