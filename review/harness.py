# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Stand-ins of the platform's store, plain engines and requesters.

The cases of this folder share them. They use the standard library alone and
implement the calls of PROTOCOL.md that a small deployment of entries needs.
All of them run in the process of the case; each entry is a process of its
own, started with the command of the deploy file.
"""

import asyncio
import collections
import contextlib
import itertools
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parent.parent
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# The figures that DEPLOY.md shows for a small deployment.
BOUNDS = {
    "revocation_ms": 5000,
    "grace_period_s": 8,
    "drain_timeout_ms": 2000,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 200,
    "budget_window_s": 10,
}
CONTRACTS = (
    "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,"
    "layers"
)
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
START_SECONDS = 20.0
CARD = "l4"
LAYER_FIELDS = ("from", "target_version")
MODELS = [{"name": "m0", "version": 1, "adapters": []}]
# A third of a model that loads in 14 s, at a tenth of the time, as before the
# first request.
LOAD_SECONDS = 0.45

Headers = list[tuple[str, str]]
Json = dict[str, typing.Any]


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run, with the time since start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began

    def note(self, what: str, **fields: object) -> None:
        """Write one line."""
        told = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {told}".rstrip() + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Request(typing.NamedTuple):
    """One HTTP request that a stand-in has read."""

    method: str
    target: str
    headers: Headers
    body: bytes

    def header(self, name: str) -> str:
        """Return a header's value, empty if it is absent."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return ""


class Answer(typing.NamedTuple):
    """One HTTP answer with its whole body."""

    status: int
    headers: Headers = []
    body: bytes = b""

    def header(self, name: str) -> str:
        """Return a header's value, empty if it is absent."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return ""


Handler = typing.Callable[[Request], typing.Awaitable[Answer]]


class Server:
    """A small HTTP/1.1 server on a loopback port."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> int:
        """Listen and return the port."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def end(self) -> None:
        """Stop listening and break off all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                answer = await self._handler(request)
                writer.write(_encode_answer(answer))
                await writer.drain()
                if answer.header("connection").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_head(reader: asyncio.StreamReader) -> list[str] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    return head.decode("latin-1").split("\r\n")[:-2]


def _parse_headers(lines: list[str]) -> Headers:
    pairs = (line.partition(":") for line in lines)
    return [(name.strip(), value.strip()) for name, _, value in pairs]


async def _read_body(
    reader: asyncio.StreamReader, headers: Headers
) -> bytes | None:
    """Return a body that has a length or chunks, ``None`` without either."""
    found = {name.lower(): value for name, value in headers}
    if found.get("transfer-encoding", "").lower() == "chunked":
        pieces = []
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            pieces.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b"".join(pieces)
    if "content-length" in found:
        return await reader.readexactly(int(found["content-length"]))
    return None


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    lines = await _read_head(reader)
    if lines is None:
        return None
    method, target, _ = lines[0].split(" ", 2)
    headers = _parse_headers(lines[1:])
    body = await _read_body(reader, headers)
    return Request(method, target, headers, body or b"")


def _encode_answer(answer: Answer) -> bytes:
    lines = [f"HTTP/1.1 {answer.status} Status"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    lines += [f"Content-Length: {len(answer.body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + answer.body


class Store:
    """The platform's store: objects by kind, with watches.

    :ivar revision: rises by one with each change.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._objects: dict[str, dict[str, Json]] = {}
        self._events: list[tuple[int, str, Json]] = []
        self._changed = asyncio.Event()
        self._servers: list[Server] = []
        self._watching: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.revision = 1

    async def start(self, caller: str = "") -> int:
        """Listen and return the port.

        :param caller: who calls the store at this port.
        """

        async def handle(request: Request) -> Answer:
            return await self._handle(caller, request)

        server = Server(handle)
        self._servers.append(server)
        return await server.start()

    def end(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.end()

    def is_watched_by(self, caller: str, kind: str) -> bool:
        """Whether a watch of a kind waits at the port of a caller."""
        return self._watching[caller, kind] > 0

    def write(self, kind: str, name: str, value: object) -> float:
        """Write an object and return the time of the ack."""
        self.revision += 1
        stored = _stored(name, self.revision, value)
        self._objects.setdefault(kind, {})[name] = stored
        self._tell(kind, {"tombstone": False, "object": stored})
        return self._record.now()

    def remove(self, kind: str, name: str) -> float:
        """Remove an object and return the time of the ack."""
        self.revision += 1
        stored = self._objects[kind].pop(name)
        gone = _stored(name, self.revision, stored["specification"])
        self._tell(kind, {"tombstone": True, "object": gone})
        return self._record.now()

    def _tell(self, kind: str, event: Json) -> None:
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, caller: str, request: Request) -> Answer:
        path, _, query_text = request.target.partition("?")
        parts = path.removeprefix("/api/objects/").split("/")
        kind, name = parts[0], urllib.parse.unquote("/".join(parts[1:]))
        query = dict(urllib.parse.parse_qsl(query_text))
        held = self._objects.setdefault(kind, {})
        if request.method == "GET" and "watch" in query:
            self._watching[caller, kind] += 1
            try:
                return await self._watch(kind, query)
            finally:
                self._watching[caller, kind] -= 1
        if request.method == "GET" and not name:
            return self._list(held, query)
        if request.method == "GET":
            return _json(200, held[name]) if name in held else _json(404, {})
        body = json.loads(request.body or b"{}")
        metadata = body.get("metadata", {})
        if request.method == "POST":
            name = str(metadata["name"])
            if name in held:
                return _json(409, held[name])
        elif name not in held:
            return _json(404, {})
        elif metadata.get("revision") not in (
            None,
            held[name]["metadata"]["revision"],
        ):
            return _json(409, held[name])
        self.write(kind, name, body.get("specification"))
        return _json(200, self._objects[kind][name])

    def _list(self, held: dict[str, Json], query: dict[str, str]) -> Answer:
        after = query.get("after_revision", "")
        items = [held[name] for name in sorted(held) if name > after]
        return _json(
            200,
            {"items": items, "has_more": False, "timestamp": self.revision},
        )

    async def _watch(self, kind: str, query: dict[str, str]) -> Answer:
        since = int(query["watch"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("wait_ms", 0)) / 1000):
                while not self._since(kind, since):
                    await self._changed.wait()
        return _json(
            200,
            {
                "events": self._since(kind, since),
                "timestamp": self.revision,
            },
        )

    def _since(self, kind: str, since: int) -> list[Json]:
        return [
            event
            for revision, event_kind, event in self._events
            if event_kind == kind and revision > since
        ]


def _stored(name: str, revision: int, value: object) -> Json:
    metadata = {
        "name": name,
        "revision": revision,
        "created_at": 1,
        "finalizers": [],
        "deleting": False,
    }
    return {"metadata": metadata, "specification": value, "status": None}


def _json(status: int, body: object) -> Answer:
    return Answer(
        status,
        [("Content-Type", "application/json")],
        json.dumps(body).encode(),
    )


class Run(typing.NamedTuple):
    """A request that arrived at an engine and that it began to run."""

    at: float
    engine: str
    request: str
    target: str
    tenant: str


class Engine:
    """An engine of a plain service.

    It refuses requests for another instance with 421, and runs all others.

    :param work_seconds: time that a request takes.
    :param body: what each answer holds.
    """

    def __init__(
        self,
        record: Record,
        store: Store,
        name: str,
        service: str,
        zone: str,
        work_seconds: float = 0.03,
        body: bytes = b"x" * 800,
    ) -> None:
        self._record = record
        self._store = store
        self._server = Server(self._handle)
        self._service, self._zone = service, zone
        self._work_seconds, self._body = work_seconds, body
        self._running = 0
        self._is_draining = False
        self._born = int(time.time() * 1000)
        self.name = name
        self.runs: list[Run] = []
        self.ended_at: float | None = None

    async def start(self) -> None:
        """Listen, and write the engine's entry in the store."""
        await self._server.start()
        self._write("ready")

    def say_draining(self) -> float:
        """Say in the store that it leaves; return the time of the ack."""
        self._is_draining = True
        return self._write("draining")

    def _write(self, state: str) -> float:
        return self._store.write(
            "servers",
            self.name,
            {
                "service": self._service,
                "address": f"{HOST}:{self._server.port}",
                "zone": self._zone,
                "version": "v1",
                "slots": 6,
                "state": state,
                "cold_remaining_ms": 0,
                "sequence_number": 1,
                "born": self._born,
            },
        )

    def end(self) -> None:
        """End as a process does: nothing listens, connections break."""
        if self.ended_at is None:
            self.ended_at = self._record.now()
            self._record.note("engine_ends", engine=self.name)
        self._server.end()

    async def _handle(self, request: Request) -> Answer:
        if request.target == "/health":
            status = 503 if self._is_draining else 200
            return Answer(status, [("X-Instance-Id", self.name)])
        expected = request.header("x-expected-instance")
        if expected and expected != self.name:
            return Answer(421, [("X-Instance-Id", self.name)])
        request_id = request.header("x-request-id")
        if not request_id:
            return Answer(400, [("X-Not-Executed", "1")])
        run = Run(
            self._record.now(),
            self.name,
            request_id,
            request.target,
            request.header("x-tenant"),
        )
        self.runs.append(run)
        self._record.note(
            "run",
            engine=self.name,
            request=request_id,
            target=run.target,
            tenant=run.tenant or "-",
        )
        self._running += 1
        try:
            await asyncio.sleep(self._work_seconds)
        finally:
            self._running -= 1
        headers = [
            ("X-Request-Id", request_id),
            ("X-Response-Signature", f"sig.{request_id}"),
            ("X-Server-Load", f"{self._running},0,6"),
        ]
        if self._is_draining:
            headers.append(("Connection", "close"))
        return Answer(200, headers, self._body)


class ModelEngine:
    """A model engine, which takes orders and reports what it holds.

    It refuses requests for streams as if it were full.
    """

    def __init__(
        self, record: Record, store: Store, name: str, service: str, zone: str
    ) -> None:
        self._record = record
        self._store = store
        self._server = Server(self._handle)
        self._service, self._zone = service, zone
        self._layers: Json | None = None
        self._is_loading = False
        self._orders = 0
        self._born = int(time.time() * 1000)
        self._address = ""
        self.name = name

    async def start(self) -> None:
        """Listen, and write the engine's entry in the store."""
        self._address = f"{HOST}:{await self._server.start()}"
        self._write()

    def end(self) -> None:
        """End as a process does: nothing listens, connections break."""
        self._server.end()

    def _write(self) -> None:
        self._store.write(
            "servers",
            self.name,
            {
                "service": self._service,
                "address": self._address,
                "zone": self._zone,
                "version": "v1",
                "slots": 96,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence_number": 1,
                "stage": "combined",
                "models": MODELS,
                "route_kind": CARD,
                "layers": self._layers,
                "born": self._born,
            },
        )

    async def _handle(self, request: Request) -> Answer:
        expected = request.header("x-expected-instance")
        if expected and expected != self.name:
            return Answer(421, [("X-Instance-Id", self.name)])
        if request.target == "/api/report":
            return _json(200, self._report())
        if request.target != "/api/order":
            return Answer(503, [("X-Not-Executed", "1")])
        order = json.loads(request.body)
        if order.get("operation") != "place":
            return Answer(404)
        if order.get("expected_revision", self._orders) != self._orders:
            return Answer(409)
        if self._is_loading:
            return Answer(409)
        layers = {name: order[name] for name in LAYER_FIELDS}
        self._orders += 1
        self._is_loading = True
        self._record.note("order", engine=self.name, layers=layers)
        loop = asyncio.get_running_loop()
        loop.call_later(LOAD_SECONDS, self._hold, layers)
        return Answer(202)

    def _hold(self, layers: Json) -> None:
        self._is_loading = False
        self._layers = {**layers, "version": 1}
        self._write()

    def _report(self) -> Json:
        return {
            "stage": "combined",
            "models": MODELS,
            "busy": self._is_loading,
            "sequence_number": self._orders,
            "waiting": 0,
            "running": 0,
            "kv_cache_used": 0,
            "kv_cache_total": 4000000,
            "handles": 0,
            "route_kind": CARD,
            "layers": self._layers,
            "stalled": [],
            "born": self._born,
        }


class _Link:
    """One connection through a proxy.

    :ivar is_open: set while bytes may pass.
    :ivar target: target of the last request that passed.
    """

    def __init__(self) -> None:
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.target = ""


class Proxy:
    """Forwards a loopback port, and holds bytes back without a sign.

    A cut holds all bytes in both directions; connections that are opened
    during it are accepted and stay silent. Single connections can be silenced
    for good, while new ones work.
    """

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._open = asyncio.Event()
        self._open.set()
        self._links: set[_Link] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Let nothing pass any more, without a sign to either end."""
        self._open.clear()

    def heal(self) -> None:
        """Let everything pass again."""
        self._open.set()

    @property
    def channels(self) -> int:
        """Number of open channels."""
        return len(self._links)

    def silence(self, target: str) -> int:
        """Silence the connections whose last request was for a target.

        :param target: beginning of the request's target.
        :returns: how many there are.
        """
        found = [
            link for link in self._links if link.target.startswith(target)
        ]
        for link in found:
            link.is_open.clear()
        return len(found)

    def end(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        link = _Link()
        self._links.add(link)
        try:
            await self._open.wait()
            far_reader, far_writer = await asyncio.open_connection(
                HOST, self._target_port
            )
            try:
                ends = [
                    asyncio.ensure_future(
                        self._copy(link, reader, far_writer, is_request=True)
                    ),
                    asyncio.ensure_future(
                        self._copy(link, far_reader, writer, is_request=False)
                    ),
                ]
                await asyncio.wait(ends, return_when="FIRST_COMPLETED")
                for end in ends:
                    end.cancel()
            finally:
                far_writer.close()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._links.discard(link)
            self._tasks.discard(task)
            writer.close()

    async def _copy(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if is_request and b" HTTP/1.1\r\n" in data:
                    link.target = data.split(b" ", 2)[1].decode("latin-1")
                await self._open.wait()
                await link.is_open.wait()
                writer.write(data)
                await writer.drain()
            await self._open.wait()
            await link.is_open.wait()


class Entry:
    """An entry, run by the command of the deploy file.

    :param store_port: where it reaches the store, or a proxy of it.
    """

    def __init__(
        self,
        record: Record,
        folder: pathlib.Path,
        name: str,
        zone: str,
        store_port: int,
        link_mbps: float = 1000.0,
    ) -> None:
        self._record = record
        self._folder = folder
        self.name = name
        self.callers, self.status, self._peers = free_ports(3)
        self._settings = {
            "node_name": name,
            "zone": zone,
            "ip_address": HOST,
            "platform": {"address": f"{HOST}:{store_port}"},
            "listen_addresses": {
                "frontend": f"{HOST}:{self.callers}",
                "readiness": f"{HOST}:{self.status}",
            },
            "internal_port_range": [self._peers, self._peers],
            "limits": {"link_mbps": link_mbps},
            "bounds": BOUNDS,
            "bootstrap": True,
            "contracts": CONTRACTS,
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, is_first: bool = True) -> None:
        """Start the process.

        :param is_first: whether the whole system starts for the first time.
        """
        self._settings["bootstrap"] = is_first
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = role["roles"]["entry"]
        settings = self._folder / f"{self.name}.ini"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(_fill(template, self._settings))
        command = shlex.split(role["run"])
        command[command.index("--config") + 1] = str(settings)
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": str(self._folder),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
        )
        self._record.note("entry_started", entry=self.name)

    async def wait_ready(self) -> None:
        """Wait until the entry says that it is ready."""
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            with contextlib.suppress(OSError, EOFError, ValueError):
                answer = await exchange(
                    self.status, "GET", "/api/readiness", timeout=1.0
                )
                if answer is not None and answer.status == 200:
                    self._record.note("entry_ready", entry=self.name)
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._record.note("signal", entry=self.name, signal=number.name)
        self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()

    def last_error(self) -> str:
        """Return the last error in the process's output, if there is one."""
        text = (self._folder / f"{self.name}.log").read_text()
        found = [line for line in text.splitlines() if "Error: " in line]
        return found[-1].strip(" |+") if found else ""


def _fill(template: str, settings: Json) -> str:
    """Fill the gaps of a settings template as DEPLOY.md says."""

    def value(match: re.Match[str]) -> str:
        found: typing.Any = settings
        for part in match.group(1).split("."):
            found = found[int(part) if part.isdigit() else part]
        if isinstance(found, bool):
            return str(found).lower()
        return str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


def free_ports(count: int) -> list[int]:
    """Return ports on which nothing listens, below the ephemeral ones."""
    found: list[int] = []
    while len(found) < count:
        port = 12_000 + int.from_bytes(os.urandom(2), "big") % 18_000
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((HOST, port))
            found.append(port)
    return found


_numbers = itertools.count(1)


def new_request_id() -> str:
    """Return the id of a new request."""
    return f"{next(_numbers):08x}{os.urandom(4).hex()}"


async def exchange(
    port: int,
    method: str,
    target: str,
    headers: Headers | None = None,
    body: bytes = b"",
    timeout: float = 5.0,
) -> Answer | None:
    """Send a request on a new channel.

    :returns: the answer, ``None`` if the channel closed without a whole one.
    :raises TimeoutError: if it takes too long.
    """
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers or []]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode("latin-1") + body)
            return await read_answer(reader)
        finally:
            writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer | None:
    """Return a whole answer, ``None`` if the channel closed before."""
    try:
        lines = await _read_head(reader)
        if lines is None:
            return None
        headers = _parse_headers(lines[1:])
        body = await _read_body(reader, headers)
    except (OSError, asyncio.IncompleteReadError):
        return None
    return Answer(int(lines[0].split(" ")[1]), headers, body or b"")


class Sent(typing.NamedTuple):
    """A request of a requester, and its answer.

    :ivar status: ``None`` if the channel closed without a whole answer.
    """

    at: float
    request: str
    entry: str
    status: int | None


class Requester:
    """Sends requests to entries, each on a channel of its own."""

    def __init__(self, record: Record, host: str) -> None:
        self._record = record
        self._host = host
        self.sent: list[Sent] = []

    async def send(
        self,
        entry: Entry,
        method: str,
        target: str,
        key: str = "",
        deadline_ms: int = 3000,
    ) -> Sent:
        """Send one request and wait for its answer."""
        request_id, at = new_request_id(), self._record.now()
        headers = [
            ("Host", self._host),
            ("X-Request-Id", request_id),
            ("X-Request-Deadline", str(deadline_ms)),
        ]
        if key:
            headers.append(("Authorization", f"Token {key}"))
        self._record.note(
            "sent",
            request=request_id,
            to=entry.name,
            call=f"{method}:{target}",
            key=key or "-",
        )
        answer: Answer | None = None
        with contextlib.suppress(OSError, TimeoutError):
            answer = await exchange(
                entry.callers,
                method,
                target,
                headers,
                b"{}" if method == "POST" else b"",
                deadline_ms / 1000 + 1.0,
            )
        status = None if answer is None else answer.status
        self._record.note("answered", request=request_id, status=status)
        sent = Sent(at, request_id, entry.name, status)
        self.sent.append(sent)
        return sent


def count_statuses(sent: typing.Iterable[Sent]) -> str:
    """Return how often each status was seen."""
    counts = collections.Counter(str(one.status) for one in sent)
    return " ".join(f"{name}:{n}" for name, n in sorted(counts.items()))


Case = typing.Callable[
    [Record, pathlib.Path, contextlib.AsyncExitStack, bool],
    typing.Awaitable[bool],
]


def main(
    folder: pathlib.Path,
    case: Case,
    limit_seconds: float,
    with_trouble: bool,
) -> int:
    """Run a case and return its exit code.

    :param case: returns whether the rule was broken; it gets the record, a
        temporary folder, a stack for what has to be ended, and whether the
        disruption takes place.
    """
    record = Record(folder / "record.txt")
    record.note("case", trouble=int(with_trouble))

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            async with contextlib.AsyncExitStack() as stack:
                async with asyncio.timeout(limit_seconds):
                    return await case(
                        record, pathlib.Path(temporary), stack, with_trouble
                    )

    try:
        is_broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        record.note("not_run", reason=repr(error))
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return EXIT_NOT_RUN
    finally:
        record.close()
    print("the rule was broken" if is_broken else "the rule held")
    return EXIT_BROKEN if is_broken else EXIT_HELD
