# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Clients that stay outside the limits, against the system's own processes.

Each process has to stay within the memory and the descriptors of its machine
and go on serving; nothing here depends on the speed of the machine.
"""

import contextlib
import itertools
import pathlib
import ssl

import anyio
import pytest
import trustme

from tests import client_system

HOST = "127.0.0.1"
MEBIBYTE = 1024 * 1024
HEAD_CLIENTS = 30
HEAD_BYTES = 8 * MEBIBYTE
# Each field takes many times the bytes that were sent for it.
FIELDS_BYTES = MEBIBYTE // 2
BODY_CLIENTS = 150
SMALL_CHUNK_CLIENTS = 60
# More than the connections that the descriptors of the machine allow.
MANY_CLIENTS = 700
FRAMING_CLIENTS = 4
FRAMING_BYTES = 8 * MEBIBYTE
REST_BYTES = 64 * MEBIBYTE
PIPELINING_CLIENTS = 30
PIPELINED_BYTES = 2 * MEBIBYTE
LINK_CLIENTS = 10
LINK_BYTES = 32 * MEBIBYTE
SMALL_CHUNK_BYTES = 64
CHUNKED = "Transfer-Encoding: chunked"

System = client_system.RunningSystem
LIMITS = client_system.LIMITS
BODY_BYTES = LIMITS["max_body_bytes"]
ENDLESS_HEADS = {
    "target": b"POST /a/b/",
    "name": client_system.head("/a/b/x", "r1"),
    "value": client_system.head("/a/b/x", "r1") + b"X-Note: ",
    "fields": client_system.head("/a/b/x", "r1"),
}
PIECES = {
    "target": b"t" * 65_536,
    "name": b"n" * 65_536,
    "value": b"v" * 65_536,
    "fields": b"a:\r\n" * 16_384,
}
HEAD_BYTES_BY_KIND = {
    "target": HEAD_BYTES,
    "name": HEAD_BYTES,
    "value": HEAD_BYTES,
    "fields": FIELDS_BYTES,
}
CALLERS = "callers"
OTHER_LISTENERS = ("status", "peers")


def port_of(system: System, listener: str) -> int:
    return {
        "callers": system.caller_port,
        "status": system.status_port,
        "peers": system.peer_port,
    }[listener]


def chunk(content: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(content), content)


def run_entry(
    scenario: client_system.Scenario, folder: pathlib.Path, **limits: int
) -> None:
    async def body() -> None:
        await client_system.run_entry(scenario, folder, **limits)

    anyio.run(body)


def run_sidecars(
    scenario: client_system.Scenario, folder: pathlib.Path, extra: str = ""
) -> None:
    anyio.run(client_system.run_sidecars, scenario, folder, extra)


class TestHeads:
    """Heads without end."""

    @pytest.mark.parametrize(
        ("kind", "listener"),
        [
            *((kind, CALLERS) for kind in PIECES),
            *itertools.product(("value", "fields"), OTHER_LISTENERS),
        ],
    )
    def test_of_an_entry(
        self, kind: str, listener: str, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            await crowd.push(
                HEAD_CLIENTS,
                port_of(system, listener),
                ENDLESS_HEADS[kind],
                PIECES[kind],
                HEAD_BYTES_BY_KIND[kind],
            )
            await system.check(crowd)

        run_entry(scenario, tmp_path)

    @pytest.mark.parametrize("kind", PIECES)
    def test_of_an_entry_with_sidecars(
        self, kind: str, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            await crowd.push(
                HEAD_CLIENTS,
                system.caller_port,
                ENDLESS_HEADS[kind],
                PIECES[kind],
                HEAD_BYTES_BY_KIND[kind],
            )
            await system.check(crowd)

        run_sidecars(scenario, tmp_path)


class TestTrailers:
    """Trailers without end behind a chunked body."""

    @pytest.mark.parametrize(
        ("kind", "listener"),
        [
            ("value", CALLERS),
            ("fields", CALLERS),
            *itertools.product(("fields",), OTHER_LISTENERS),
        ],
    )
    def test_of_an_entry(
        self, kind: str, listener: str, tmp_path: pathlib.Path
    ) -> None:
        first = client_system.head("/a/b/x", "r1", CHUNKED) + b"\r\n"
        first += chunk(b"body") + b"0\r\n"
        if kind == "value":
            first += b"X-Note: "

        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            await crowd.push(
                HEAD_CLIENTS,
                port_of(system, listener),
                first,
                PIECES[kind],
                HEAD_BYTES_BY_KIND[kind],
            )
            await system.check(crowd)

        run_entry(scenario, tmp_path)


class TestFraming:
    """Bytes without end that belong to no head and no body."""

    @pytest.mark.parametrize(
        ("kind", "listener"),
        [
            ("empty lines", CALLERS),
            ("extension", CALLERS),
            ("zeros", CALLERS),
            ("trailers", CALLERS),
            *itertools.product(("empty lines",), OTHER_LISTENERS),
        ],
    )
    def test_ends_the_connection(
        self, kind: str, listener: str, tmp_path: pathlib.Path
    ) -> None:
        first = client_system.head("/a/b/x", "r1", CHUNKED) + b"\r\n"
        first += chunk(b"body")
        first, piece = {
            "empty lines": (b"\r\n", b"\r\n" * 32_768),
            "extension": (first + b"4;note=", b"e" * 65_536),
            "zeros": (first, b"0" * 65_536),
            "trailers": (first + b"0\r\n", b"a: b\r\n" * 8_192),
        }[kind]

        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            pushes = await crowd.push(
                FRAMING_CLIENTS,
                port_of(system, listener),
                first,
                piece,
                FRAMING_BYTES,
            )
            assert all(push.was_closed for push in pushes)
            await system.check(crowd)

        run_entry(scenario, tmp_path)


class TestBodies:
    """Bodies that stop short of their end, on connections that stay open."""

    @pytest.mark.parametrize("kind", ["length", "chunks", "one byte short"])
    def test_of_an_entry(self, kind: str, tmp_path: pathlib.Path) -> None:
        line = f"Content-Length: {BODY_BYTES}"
        if kind != "length":
            line = CHUNKED
        first = client_system.head("/a/b/x", "r1", line) + b"\r\n"
        size = 65_536
        piece = b"b" * size if kind == "length" else chunk(b"b" * size)
        count = BODY_BYTES // size - 1
        if kind == "one byte short":
            first += chunk(b"b" * (size - 1))

        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            await crowd.push(
                BODY_CLIENTS,
                system.caller_port,
                first,
                piece,
                count * len(piece),
            )
            await system.check(crowd)

        run_entry(scenario, tmp_path)

    def test_in_very_small_chunks(self, tmp_path: pathlib.Path) -> None:
        first = client_system.head("/a/b/x", "r1", CHUNKED) + b"\r\n"
        piece = chunk(b"b" * SMALL_CHUNK_BYTES) * 512
        count = BODY_BYTES // (SMALL_CHUNK_BYTES * 512) - 1

        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            await crowd.push(
                SMALL_CHUNK_CLIENTS,
                system.caller_port,
                first,
                piece,
                count * len(piece),
            )
            await system.check(crowd)

        run_entry(scenario, tmp_path)

    @pytest.mark.parametrize("kind", ["length", "chunks"])
    def test_of_an_entry_with_sidecars(
        self, kind: str, tmp_path: pathlib.Path
    ) -> None:
        size = 65_536
        line = f"Content-Length: {BODY_BYTES}" if kind == "length" else CHUNKED
        key = f"Authorization: Bearer {client_system.clusters.KIOSKS_KEY}"
        path = "/services/records/receipts/7"
        first = client_system.head(path, "", line, key) + b"\r\n"
        piece = b"b" * size if kind == "length" else chunk(b"b" * size)
        count = BODY_BYTES // size - 1

        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            await crowd.push(
                BODY_CLIENTS,
                system.caller_port,
                first,
                piece,
                count * len(piece),
            )
            await system.check(crowd)

        run_sidecars(scenario, tmp_path, f"body_bytes = {BODY_BYTES}\n")

    def test_that_are_whole_and_wait(self, tmp_path: pathlib.Path) -> None:
        """Whole requests whose service takes long."""
        body = b"b" * (BODY_BYTES - 1)
        line = f"Content-Length: {len(body)}"

        async def scenario(system: System) -> None:
            (service,) = system.fleet.upstreams
            service.call_seconds = 30.0
            crowd = client_system.Crowd()
            async with anyio.create_task_group() as tasks:
                for number in range(BODY_CLIENTS):
                    first = client_system.head("/a/b/x", f"r{number}", line)
                    tasks.start_soon(
                        crowd.push,
                        1,
                        system.caller_port,
                        first + b"\r\n" + body,
                    )
            service.call_seconds = 0.02
            await system.check(crowd)

        run_entry(scenario, tmp_path)

    def test_that_are_refused_and_go_on(self, tmp_path: pathlib.Path) -> None:
        line = f"Content-Length: {2 * REST_BYTES}"
        first = client_system.head("/a/b/x", "r1", line) + b"\r\n"

        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            pushes = await crowd.push(
                FRAMING_CLIENTS,
                system.caller_port,
                first,
                b"b" * 65_536,
                REST_BYTES,
            )
            assert all(push.was_closed for push in pushes)
            await system.check(crowd)

        run_entry(scenario, tmp_path)


class TestPipelinedRequests:
    """Requests behind one that has no answer yet."""

    @pytest.mark.parametrize("kind", ["small", "large", "unfinished"])
    def test_of_an_entry(self, kind: str, tmp_path: pathlib.Path) -> None:
        piece = {
            "small": b"GET / HTTP/1.1\r\n\r\n" * 4_096,
            "large": client_system.head("/a/b/x", "r2", "Content-Length: 4096")
            + b"\r\n"
            + b"b" * 4_096,
            "unfinished": PIECES["fields"],
        }[kind]
        prefix = ENDLESS_HEADS["fields"] if kind == "unfinished" else b""

        async def scenario(system: System) -> None:
            (service,) = system.fleet.upstreams
            service.call_seconds = 30.0
            crowd = client_system.Crowd()
            first = client_system.head("/a/b/x", "r1") + b"\r\n" + prefix
            await crowd.push(
                PIPELINING_CLIENTS,
                system.caller_port,
                first,
                piece,
                PIPELINED_BYTES,
            )
            service.call_seconds = 0.02
            await system.check(crowd)

        run_entry(scenario, tmp_path)

    @pytest.mark.parametrize("listener", ["status", "peers"])
    def test_of_other_listeners(
        self, listener: str, tmp_path: pathlib.Path
    ) -> None:
        path = {"status": "/metrics", "peers": "/status"}[listener]

        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            await crowd.push(
                PIPELINING_CLIENTS,
                port_of(system, listener),
                b"",
                b"GET %s HTTP/1.1\r\n\r\n" % path.encode() * 2_048,
                PIPELINED_BYTES,
            )
            await system.check(crowd)

        run_entry(scenario, tmp_path)

    def test_of_an_entry_with_sidecars(self, tmp_path: pathlib.Path) -> None:
        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            await crowd.push(
                PIPELINING_CLIENTS,
                system.caller_port,
                b"",
                b"GET / HTTP/1.1\r\n\r\n" * 4_096,
                PIPELINED_BYTES,
            )
            await system.check(crowd)

        run_sidecars(scenario, tmp_path)


class TestManyConnections:
    """More connections than a machine has descriptors."""

    @pytest.mark.parametrize(
        ("kind", "listener"),
        [
            ("silent", CALLERS),
            ("half a head", CALLERS),
            ("half a body", CALLERS),
            *itertools.product(("half a head",), OTHER_LISTENERS),
        ],
    )
    def test_of_an_entry(
        self, kind: str, listener: str, tmp_path: pathlib.Path
    ) -> None:
        first = {
            "silent": b"",
            "half a head": client_system.head("/a/b/x", "r1"),
            "half a body": client_system.head(
                "/a/b/x", "r1", "Content-Length: 100"
            )
            + b"\r\nb",
        }[kind]

        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            await crowd.push(MANY_CLIENTS, port_of(system, listener), first)
            await system.check(crowd)

        run_entry(scenario, tmp_path)

    def test_that_read_no_answer(self, tmp_path: pathlib.Path) -> None:
        # The id is part of the answer, which fills the client's buffer.
        first = client_system.head("/a/b/x", "i" * 12_000) + b"\r\n"

        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()

            async def stay() -> None:
                client = await crowd.connect(system.caller_port, 4_096)
                with contextlib.suppress(OSError):
                    for _ in range(8):
                        await client_system.send(client, first)

            with anyio.move_on_after(client_system.CROWD_SECONDS):
                async with anyio.create_task_group() as tasks:
                    for _ in range(MANY_CLIENTS):
                        tasks.start_soon(stay)
            await system.check(crowd)

        run_entry(scenario, tmp_path)

    @pytest.mark.parametrize("kind", ["silent", "half a head"])
    def test_of_an_entry_with_sidecars(
        self, kind: str, tmp_path: pathlib.Path
    ) -> None:
        first = b"" if kind == "silent" else b"GET / HTTP/1.1\r\nA: b"

        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            await crowd.push(MANY_CLIENTS, system.caller_port, first)
            await system.check(crowd)

        run_sidecars(scenario, tmp_path)

    def test_without_a_handshake(self, tmp_path: pathlib.Path) -> None:
        authority = trustme.CA()
        certificate = authority.issue_cert(HOST)
        pem = tmp_path / "server.pem"
        key = tmp_path / "server.key"
        certificate.cert_chain_pems[0].write_to_path(pem)
        certificate.private_key_pem.write_to_path(key)
        context = ssl.create_default_context()
        authority.configure_trust(context)

        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            await crowd.push(MANY_CLIENTS, system.caller_port, b"")
            await system.check(crowd)

        extra = f"tls_certificate = {pem}\ntls_key = {key}\n"

        async def body() -> None:
            await client_system.run_sidecars(
                scenario, tmp_path, extra, context
            )

        anyio.run(body)


class TestLinks:
    """Clients of the port on which processes reach one another."""

    @pytest.mark.parametrize("role", ["entry", "sidecar"])
    def test_with_a_large_message(
        self, role: str, tmp_path: pathlib.Path
    ) -> None:
        # A segment table of one segment, in words of eight bytes.
        words = (LINK_BYTES + MEBIBYTE) // 8
        first = b"\0\0\0\0" + words.to_bytes(4, "little")

        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            await crowd.push(
                LINK_CLIENTS,
                system.link_ports[role],
                first,
                b"m" * 65_536,
                LINK_BYTES,
            )
            await system.check(crowd)

        run_sidecars(scenario, tmp_path)

    @pytest.mark.parametrize("role", ["entry", "sidecar"])
    @pytest.mark.parametrize("kind", ["silent", "greeted"])
    def test_of_many(
        self, kind: str, role: str, tmp_path: pathlib.Path
    ) -> None:
        greeting = anyio.run(client_system.record_greeting)

        async def scenario(system: System) -> None:
            crowd = client_system.Crowd()
            first = b"" if kind == "silent" else greeting
            await crowd.push(MANY_CLIENTS, system.link_ports[role], first)
            await system.check(crowd)

        run_sidecars(scenario, tmp_path)
