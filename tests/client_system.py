# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The system's own processes, and crowds of clients on their sockets."""

import asyncio
import contextlib
import os
import pathlib
import re
import socket
import ssl
import sys
import typing

import anyio
import anyio.abc
import attrs
import capnp
import orjson

from bench.soak import ports as free_ports
from crowdeck.cmd import http_server
from crowdeck.entry import answers
from crowdeck.entry import entry as entries
from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.platform import names
from crowdeck.settings import config as configs
from crowdeck.settings import editor
from crowdeck.standin import chain_fleet
from crowdeck.standin import chain_http
from crowdeck.standin import cluster as clusters
from crowdeck.standin import service as standin_service
from crowdeck.standin import store as standin_store
from crowdeck.standin import store_http
from crowdeck.wire import messages
from crowdeck.wire import rpc
from tests import fleet_system
from tests import test_fleet_process

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).parent.parent
# The machine on which each process runs.
MEMORY_MB = 200
FILE_DESCRIPTORS = 600
SAMPLE_SECONDS = 0.02
START_SECONDS = 60.0
# Longest time for which a crowd sends; what it could not send by then waits
# in the sockets.
CROWD_SECONDS = 8.0
# An ordinary caller retries as long as it is refused with a promise.
CALLER_TRIES = 40
CALLER_DELAY_SECONDS = 0.25
ANSWER_SECONDS = 30.0
SETTINGS = clusters.SETTINGS
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
_PAIR = re.compile(r"^VmRSS:\s+(\d+) kB$", re.MULTILINE)
_LISTENING = "0A"


@attrs.define
class Peak:
    """The most that a process held at once.

    :ivar memory_bytes: resident memory, and bytes that have arrived on its
        connections and are unread.
    """

    memory_bytes: int = 0
    descriptors: int = 0


@attrs.define
class SystemProcess:
    """A process of the system, and the ports on which it listens."""

    process: anyio.abc.Process
    ports: frozenset[int]
    log: pathlib.Path
    peak: Peak = attrs.field(factory=Peak)

    @property
    def is_alive(self) -> bool:
        """Whether the process has not ended."""
        return self.process.returncode is None

    async def watch(self) -> None:
        """Sample what the process holds until cancelled."""
        while self.is_alive:
            self.sample()
            await anyio.sleep(SAMPLE_SECONDS)

    def sample(self) -> None:
        """Update the peak."""
        folder = pathlib.Path("/proc") / str(self.process.pid)
        try:
            status = (folder / "status").read_text()
            descriptors = len(os.listdir(folder / "fd"))
        except (FileNotFoundError, ProcessLookupError):
            # It was killed at the end of a scenario while it was sampled.
            return
        resident = _PAIR.search(status)
        if resident is None:
            return
        memory_bytes = int(resident.group(1)) * 1024
        memory_bytes += unread_bytes(self.ports)
        self.peak.memory_bytes = max(self.peak.memory_bytes, memory_bytes)
        self.peak.descriptors = max(self.peak.descriptors, descriptors)

    def check(self) -> None:
        """Assert that it lives and stayed within its machine."""
        self.sample()
        assert self.is_alive, self.log.read_text()[-2000:]
        found_mb = self.peak.memory_bytes / 2**20
        assert found_mb <= MEMORY_MB, f"{found_mb:.0f} MB"
        found = self.peak.descriptors
        assert found <= FILE_DESCRIPTORS, f"{found} descriptors"


def unread_bytes(ports: typing.Collection[int]) -> int:
    """Return the bytes that wait unread in connections to some ports."""
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as table:
        next(table)
        for line in table:
            _, local, _, state, queues, *_ = line.split()
            if state == _LISTENING:
                continue
            if int(local.rpartition(":")[2], 16) in ports:
                total += int(queues.partition(":")[2], 16)
    return total


class Crowd:
    """Connections of clients that stay open until the crowd leaves."""

    def __init__(self) -> None:
        self._stack = contextlib.ExitStack()

    def leave(self) -> None:
        """Close all connections."""
        self._stack.close()

    async def connect(
        self, port: int, receive_bytes: int | None = None
    ) -> socket.socket:
        """Open a connection.

        :param receive_bytes: size of the client's receive buffer.
        """
        client = self._stack.enter_context(contextlib.closing(socket.socket()))
        if receive_bytes is not None:
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        client.setblocking(False)
        with contextlib.suppress(ConnectionError):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(client, (HOST, port))
        return client

    async def push(
        self,
        count: int,
        port: int,
        first: bytes,
        piece: bytes = b"",
        total_bytes: int = 0,
    ) -> list["Push"]:
        """Let some clients connect and send at once, and stay connected.

        :param first: what each client sends first.
        :param piece: what it sends again and again after that.
        :param total_bytes: how much it sends in pieces.
        """
        pushes = [Push() for _ in range(count)]
        with anyio.move_on_after(CROWD_SECONDS):
            async with anyio.create_task_group() as tasks:
                for push in pushes:
                    tasks.start_soon(
                        self._push, push, port, first, piece, total_bytes
                    )
        return pushes

    async def _push(
        self,
        push: "Push",
        port: int,
        first: bytes,
        piece: bytes,
        total_bytes: int,
    ) -> None:
        client = await self.connect(port)
        push.client = client
        try:
            await send(client, first)
            while push.sent_bytes < total_bytes:
                await send(client, piece)
                push.sent_bytes += len(piece)
        except OSError:
            push.was_closed = True


@attrs.define
class Push:
    """What one client of a crowd sent.

    :ivar was_closed: whether the process closed the connection meanwhile.
    """

    sent_bytes: int = 0
    was_closed: bool = False
    client: socket.socket | None = None


async def send(client: socket.socket, content: bytes) -> None:
    """Send bytes.

    :raises OSError: if the connection was closed.
    """
    await asyncio.get_running_loop().sock_sendall(client, content)


async def receive(client: socket.socket, end: bytes = b"") -> bytes:
    """Return what arrives until some bytes, or until the connection ends."""
    loop = asyncio.get_running_loop()
    content = b""
    with anyio.move_on_after(ANSWER_SECONDS):
        with contextlib.suppress(ConnectionError):
            while not end or end not in content:
                piece = await loop.sock_recv(client, 65_536)
                if not piece:
                    break
                content += piece
    return content


def head(
    path: str, request_id: str = "", *lines: str, method: str = "POST"
) -> bytes:
    """Return a request's head without its end."""
    first = [f"{method} {path} HTTP/1.1", "Host: desk.example"]
    if request_id:
        first += [f"X-Request-Id: {request_id}", "X-Request-Deadline: 60000"]
    return "\r\n".join((*first, *lines, "")).encode()


async def ask(
    port: int,
    request: bytes,
    expected: bytes,
    tls: ssl.SSLContext | None = None,
) -> bytes:
    """Send a request as an ordinary caller, and return its answer.

    The caller repeats what was refused with a promise or not read.

    :param expected: bytes that end the answer.
    """
    content = b""
    for _ in range(CALLER_TRIES):
        content = await _try(port, request, expected, tls)
        if expected in content:
            break
        await anyio.sleep(CALLER_DELAY_SECONDS)
    return content


async def _try(
    port: int, request: bytes, expected: bytes, tls: ssl.SSLContext | None
) -> bytes:
    content = b""
    with (
        anyio.move_on_after(ANSWER_SECONDS),
        contextlib.suppress(
            OSError, anyio.EndOfStream, anyio.BrokenResourceError
        ),
    ):
        reader, writer = await asyncio.open_connection(HOST, port, ssl=tls)
        with contextlib.closing(writer):
            writer.write(request)
            while expected not in content:
                piece = await reader.read(65_536)
                if not piece:
                    break
                content += piece
    return content


async def record_greeting() -> bytes:
    """Return the bytes with which a process greets another."""
    content = b""

    async def read(stream: anyio.abc.SocketStream) -> None:
        nonlocal content
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    content += await stream.receive()

    async with capnp.kj_loop():
        greeting = messages.Greeting("crowdeck", "peer", "entry", "a", 1)
        handler = entries.EntryLinkHandler(answers.AnswerInboxes())
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host=HOST)
            tasks.start_soon(listener.serve, read)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with rpc.RpcTransport(greeting, handler) as peer:
                with contextlib.suppress(errors.LinkLost):
                    await peer.dial(instances.Address(HOST, port))
            tasks.cancel_scope.cancel()
    return content


@attrs.define
class RunningSystem:
    """Processes of the system with their stand-ins.

    :ivar caller_port: where callers reach the system.
    :ivar ordinary_request: a request that a caller would send.
    :ivar ordinary_answer: bytes in its answer.
    """

    caller_port: int
    processes: list[SystemProcess]
    ordinary_request: bytes
    ordinary_answer: bytes
    store: standin_store.StandinStore
    fleet: chain_fleet.ChainFleet = attrs.field(factory=chain_fleet.ChainFleet)
    status_port: int = 0
    peer_port: int = 0
    link_ports: dict[str, int] = attrs.field(factory=dict)
    tls: ssl.SSLContext | None = None

    async def ask(self) -> bytes:
        """Send the ordinary request and return its answer."""
        return await ask(
            self.caller_port,
            self.ordinary_request,
            self.ordinary_answer,
            self.tls,
        )

    async def check(self, crowd: Crowd) -> None:
        """Assert that all live and serve, beside a crowd and after it."""
        await self._check_served()
        for process in self.processes:
            process.check()
        crowd.leave()
        await self._check_served()
        for process in self.processes:
            process.check()

    def change_limits(self, **limits: int) -> None:
        """Write a newer config with other limits."""
        body = make_config({**LIMITS, **limits})
        body["version"] = 8
        self.store.write(
            names.CONFIG_KIND, names.CONFIG_NAME, orjson.dumps(body)
        )

    async def _check_served(self) -> None:
        answer = await self.ask()
        assert answer.startswith(b"HTTP/1.1 200"), answer[:300]
        assert self.ordinary_answer in answer


Scenario = typing.Callable[[RunningSystem], typing.Awaitable[None]]


def make_config(limits: dict[str, int]) -> dict[str, typing.Any]:
    """Return a config with a plain route that no key is needed for."""
    body = test_fleet_process.make_config(
        fleet_system.MODEL, fleet_system.PLAIN
    )
    body["limits"] = limits
    # Longer than any of the crowds stays.
    body["routes"][1]["timeout_ms"] = 60_000
    return body


async def run_entry(
    scenario: Scenario, folder: pathlib.Path, **limits: int
) -> None:
    """Run a scenario on an entry in front of a plain service.

    :param limits: other limits of the config.
    """
    store = standin_store.StandinStore()
    body = make_config({**LIMITS, **limits})
    store.write(names.CONFIG_KIND, names.CONFIG_NAME, orjson.dumps(body))
    callers, status, peers = free_ports.find_free(3, os.getpid())
    async with contextlib.AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        store_port = await _serve(tasks, store_http.StoreApp(store).build())
        system = RunningSystem(
            caller_port=callers,
            processes=[],
            ordinary_request=head("/a/b/x", "ordinary") + b"\r\n",
            ordinary_answer=b"\r\n\r\nordinary",
            store=store,
            status_port=status,
            peer_port=peers,
        )
        await chain_http.serve(
            system.fleet,
            fleet_system.upstream("p0", service=fleet_system.PLAIN, card=""),
            tasks,
        )
        tasks.start_soon(chain_http.heartbeat, system.fleet, store)
        text = test_fleet_process.render_template(
            test_fleet_process.TEMPLATE.read_text(),
            {
                **test_fleet_process.SETTINGS,
                "limits.memory_mb": str(MEMORY_MB),
                "limits.file_descriptors": str(FILE_DESCRIPTORS),
                "platform.address": f"{HOST}:{store_port}",
                "internal_port_range.0": str(peers),
                "listen_addresses.frontend": f"{HOST}:{callers}",
                "listen_addresses.readiness": f"{HOST}:{status}",
            },
        )
        entry = await _start(
            stack, folder, "entry", text, frozenset((callers, status, peers))
        )
        system.processes.append(entry)
        await _wait_serving(system)
        tasks.start_soon(entry.watch)
        await scenario(system)


async def run_sidecars(
    scenario: Scenario,
    folder: pathlib.Path,
    extra: str = "",
    tls: ssl.SSLContext | None = None,
) -> None:
    """Run a scenario on an entry, a sidecar and a plain service.

    :param extra: further lines of the entry's section.
    :param tls: with which callers connect, if they do not speak plain HTTP.
    """
    store = standin_store.StandinStore()
    callers, entry_link, sidecar_link = free_ports.find_free(3, os.getpid())
    async with contextlib.AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        store_port = await _serve(tasks, store_http.StoreApp(store).build())
        service = standin_service.StandinService()
        service_port = await _serve(tasks, service.build())
        await editor.SettingsEditor(store).apply(editor.EMPTY, SETTINGS)
        for name, role, port in (
            ("entry-0", instances.Role.ENTRY, entry_link),
            ("records-0", instances.Role.SIDECAR, sidecar_link),
        ):
            store.add_instance(
                instances.Instance(
                    name=name,
                    role=role,
                    availability_zone="a",
                    address=instances.Address(HOST, port),
                )
            )
        sidecar_text = _daemon_text(
            "sidecar", "records-0", sidecar_link, store_port
        ) + (f"[sidecar]\nservices = records=http://{HOST}:{service_port}\n")
        entry_text = _daemon_text(
            "entry", "entry-0", entry_link, store_port
        ) + (f"[entry]\nhttp_host = {HOST}\nhttp_port = {callers}\n{extra}")
        sidecar = await _start(
            stack,
            folder,
            "sidecar",
            sidecar_text,
            frozenset((sidecar_link,)),
        )
        entry = await _start(
            stack,
            folder,
            "entry",
            entry_text,
            frozenset((callers, entry_link)),
        )
        line = f"Authorization: Bearer {clusters.KIOSKS_KEY}"
        system = RunningSystem(
            caller_port=callers,
            processes=[sidecar, entry],
            ordinary_request=head(
                "/services/records/receipts/7", "", line, method="GET"
            )
            + b"\r\n",
            ordinary_answer=b"receipt 7",
            store=store,
            link_ports={"entry": entry_link, "sidecar": sidecar_link},
            tls=tls,
        )
        await _wait_serving(system)
        tasks.start_soon(entry.watch)
        tasks.start_soon(sidecar.watch)
        await scenario(system)


def _daemon_text(role: str, name: str, port: int, store_port: int) -> str:
    """Return the settings that all processes have.

    Limits of the machine that this version does not know are left out.
    """
    known = {option.name for option in configs.DAEMON_OPTIONS}
    machine = {
        "memory_mb": MEMORY_MB,
        "file_descriptors": FILE_DESCRIPTORS,
    }
    lines = "".join(
        f"{name} = {value}\n"
        for name, value in machine.items()
        if name in known
    )
    return (
        f"[crowdeckd]\nrole = {role}\nname = {name}\n{lines}"
        f"availability_zone = a\nhost = {HOST}\nport = {port}\n"
        f"[platform]\nurl = http://{HOST}:{store_port}\n"
    )


async def _serve(tasks: anyio.abc.TaskGroup, app: typing.Any) -> int:
    port: int = await tasks.start(http_server.serve_http, app, HOST, 0)
    return port


async def _start(
    stack: contextlib.AsyncExitStack,
    folder: pathlib.Path,
    name: str,
    text: str,
    ports: frozenset[int],
) -> SystemProcess:
    path = folder / f"{name}.ini"
    path.write_text(text)
    log_path = folder / f"{name}.log"
    log = stack.enter_context(log_path.open("ab"))
    process = await anyio.open_process(
        [
            sys.executable,
            str(ROOT / "deploy" / "crowdeckd.py"),
            "--config",
            str(path),
        ],
        stdout=log,
        stderr=log,
    )
    stack.push_async_callback(_kill, process)
    return SystemProcess(process, ports, log_path)


async def _kill(process: anyio.abc.Process) -> None:
    with anyio.CancelScope(shield=True):
        if process.returncode is None:
            process.kill()
        await process.aclose()


async def _wait_serving(system: RunningSystem) -> None:
    with anyio.fail_after(START_SECONDS):
        while True:
            for process in system.processes:
                assert process.is_alive, process.log.read_text()[-2000:]
            content = await system.ask()
            if system.ordinary_answer in content:
                return
            await anyio.sleep(0.1)
