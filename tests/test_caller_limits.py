# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The limits of the config on single callers, against an entry's process."""

import pathlib

import anyio
import pytest

from tests import client_system

System = client_system.RunningSystem
LIMITS = client_system.LIMITS
HEADER_BYTES = LIMITS["max_header_bytes"]
BODY_BYTES = LIMITS["max_body_bytes"]
HEADER_SECONDS = LIMITS["header_timeout_ms"] / 1000
# Callers take up connections that have rested for this part of the idle time.
REST_SHARE = 0.8
SMALL_CHUNK_BYTES = 512
LARGE_BODY_BYTES = 32 * 1024 * 1024
CHUNKED = "Transfer-Encoding: chunked"


def run(
    scenario: client_system.Scenario, folder: pathlib.Path, **limits: int
) -> None:
    async def body() -> None:
        await client_system.run_entry(scenario, folder, **limits)

    anyio.run(body)


def largest_head(size: int, *lines: str) -> bytes:
    """Return a whole head of some bytes."""
    start = client_system.head("/a/b/x", "ordinary", *lines)
    padding = size - len(start) - len(b"X-Note: \r\n\r\n")
    return start + b"X-Note: " + b"n" * padding + b"\r\n\r\n"


def runs(system: System) -> int:
    return len(system.fleet.runs_of("ordinary"))


async def send_alone(system: System, *parts: bytes, pause: float = 0) -> bytes:
    """Send a request in parts on one connection and return its answer."""
    crowd = client_system.Crowd()
    client = await crowd.connect(system.caller_port)
    for part in parts:
        await client_system.send(client, part)
        if pause:
            await anyio.sleep(pause)
    content = await client_system.receive(client, system.ordinary_answer)
    crowd.leave()
    return content


class TestWithinTheLimits:
    """A single request inside the limits is served in calm."""

    def test_largest_head_is_served(self, tmp_path: pathlib.Path) -> None:
        async def scenario(system: System) -> None:
            answer = await send_alone(system, largest_head(HEADER_BYTES))
            assert answer.startswith(b"HTTP/1.1 200")

        run(scenario, tmp_path)

    def test_slowest_head_is_served(self, tmp_path: pathlib.Path) -> None:
        async def scenario(system: System) -> None:
            content = largest_head(HEADER_BYTES)
            size = len(content) // 8 + 1
            parts = [
                content[at : at + size] for at in range(0, len(content), size)
            ]
            pause = REST_SHARE * HEADER_SECONDS / len(parts)
            answer = await send_alone(system, *parts, pause=pause)
            assert answer.startswith(b"HTTP/1.1 200")

        run(scenario, tmp_path)

    @pytest.mark.parametrize("kind", ["length", "chunks", "slow"])
    def test_largest_body_is_served(
        self, kind: str, tmp_path: pathlib.Path
    ) -> None:
        body = b"b" * BODY_BYTES
        line = f"Content-Length: {BODY_BYTES}"
        parts = [body]
        if kind == "chunks":
            line = CHUNKED
            small = b"%x\r\n%s\r\n" % (
                SMALL_CHUNK_BYTES,
                body[:SMALL_CHUNK_BYTES],
            )
            parts = [small * (BODY_BYTES // SMALL_CHUNK_BYTES) + b"0\r\n\r\n"]
        if kind == "slow":
            size = BODY_BYTES // 16
            parts = [body[:size]] * 16
        first = client_system.head("/a/b/x", "ordinary", line) + b"\r\n"

        async def scenario(system: System) -> None:
            pause = 0.3 if kind == "slow" else 0.0
            answer = await send_alone(system, first, *parts, pause=pause)
            assert answer.startswith(b"HTTP/1.1 200")

        run(scenario, tmp_path)

    def test_body_is_served_that_takes_more_than_its_share(
        self, tmp_path: pathlib.Path
    ) -> None:
        """A config may allow bodies that the machine can just bear."""
        body = b"b" * LARGE_BODY_BYTES
        line = f"Content-Length: {LARGE_BODY_BYTES}"
        first = client_system.head("/a/b/x", "ordinary", line) + b"\r\n"

        async def scenario(system: System) -> None:
            answer = await send_alone(system, first, body)
            assert answer.startswith(b"HTTP/1.1 200")
            await system.check(client_system.Crowd())

        run(scenario, tmp_path, max_body_bytes=LARGE_BODY_BYTES)

    @pytest.mark.parametrize("idle_ms", [2_000, 20_000])
    def test_rested_connection_is_taken_up(
        self, idle_ms: int, tmp_path: pathlib.Path
    ) -> None:
        """Also where the config allows a longer rest than the default."""

        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            client = await crowd.connect(system.caller_port)
            for _ in range(2):
                await client_system.send(client, system.ordinary_request)
                answer = await client_system.receive(
                    client, system.ordinary_answer
                )
                assert answer.startswith(b"HTTP/1.1 200")
                await anyio.sleep(REST_SHARE * idle_ms / 1000)
            crowd.leave()

        run(scenario, tmp_path, idle_timeout_ms=idle_ms)

    def test_connection_that_was_just_opened_may_rest(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a head's time that begins before the head."""

        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            client = await crowd.connect(system.caller_port)
            await anyio.sleep(HEADER_SECONDS + 1.0)
            await client_system.send(client, system.ordinary_request)
            answer = await client_system.receive(
                client, system.ordinary_answer
            )
            assert answer.startswith(b"HTTP/1.1 200")
            crowd.leave()

        run(scenario, tmp_path)


class TestOutsideTheLimits:
    """A refusal is read before the close, and what it refuses never runs."""

    @pytest.mark.parametrize(
        ("kind", "status"),
        [
            ("fields", b"431"),
            ("target", b"414"),
            ("slow", b"408"),
            ("declared body", b"413"),
            ("trailers", b"431"),
        ],
    )
    def test_is_refused(
        self, kind: str, status: bytes, tmp_path: pathlib.Path
    ) -> None:
        chunked = client_system.head("/a/b/x", "ordinary", CHUNKED) + b"\r\n"
        request = {
            "fields": largest_head(2 * HEADER_BYTES + 8_192),
            "target": client_system.head(
                "/a/b/" + "t" * (HEADER_BYTES + 4_096), "ordinary"
            )
            + b"\r\n",
            "slow": client_system.head("/a/b/x", "ordinary"),
            "declared body": client_system.head(
                "/a/b/x", "ordinary", f"Content-Length: {BODY_BYTES + 1}"
            )
            + b"\r\n",
            "trailers": chunked
            + b"0\r\n"
            + b"X-Note: "
            + b"n" * (2 * HEADER_BYTES)
            + b"\r\n\r\n",
        }[kind]

        async def scenario(system: System) -> None:
            before = runs(system)
            crowd = client_system.Crowd()
            client = await crowd.connect(system.caller_port)
            await client_system.send(client, request)
            answer = await client_system.receive(client)
            assert answer.startswith(b"HTTP/1.1 " + status), answer[:100]
            assert runs(system) == before
            await system.check(crowd)

        run(scenario, tmp_path)

    def test_fields_of_trailers_are_no_fields_of_the_head(
        self, tmp_path: pathlib.Path
    ) -> None:
        request = client_system.head("/a/b/x", "", CHUNKED) + b"\r\n"
        request += b"4\r\nbody\r\n0\r\nX-Request-Id: ordinary\r\n\r\n"

        async def scenario(system: System) -> None:
            before = runs(system)
            crowd = client_system.Crowd()
            client = await crowd.connect(system.caller_port)
            await client_system.send(client, request)
            answer = await client_system.receive(client, b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 400")
            assert runs(system) == before
            crowd.leave()

        run(scenario, tmp_path)


class TestChangedLimits:
    """A config that raises or lowers the limits is followed."""

    @pytest.mark.parametrize(
        ("limit", "status"),
        [(8_192, b"431"), (65_536, b"200")],
    )
    def test_of_the_head(
        self, limit: int, status: bytes, tmp_path: pathlib.Path
    ) -> None:
        size = {8_192: 3 * 8_192, 65_536: 60_000}[limit]

        async def scenario(system: System) -> None:
            system.change_limits(max_header_bytes=limit)
            with anyio.fail_after(client_system.ANSWER_SECONDS):
                while True:
                    answer = await send_alone(system, largest_head(size))
                    if answer.startswith(b"HTTP/1.1 " + status):
                        return
                    await anyio.sleep(0.1)

        run(scenario, tmp_path)
