"""Stand-ins of the platform, its services and requesters for the scripts.

Uses the standard library only. One event loop runs the store, the engines and
the requesters; the entries are processes of their own, started with the
command of the deploy file.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
BROKEN, HELD, NOT_RUN = 1, 0, 2
# Bounds of the settings, as petaku's page gives them.
REVOCATION_MS = 5_000
GRACE_SECONDS = 8
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
CONFIG_APPLY_SECONDS = 2.0
HISTORY_SECONDS = 20.0
CONTRACTS = (
    "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,"
    "layers"
)
RESTART_SECONDS = 1.0


class CannotRun(Exception):
    """The case could not be set up."""


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Record:
    """The lines of ``record.txt``, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def line(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


class Message:
    """A request that a stand-in has read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.target = target
        pairs = (part.partition("=") for part in query.split("&") if part)
        self.query = {name: value for name, _, value in pairs}
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the first line and the headers, ``None`` at the end."""
    first = await reader.readline()
    if not first.strip():
        return None
    headers = {}
    while (line := await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.decode("latin-1").split(None, 2), headers


async def read_chunks(reader):
    while size := int((await reader.readline()).split(b";")[0], 16):
        yield await reader.readexactly(size)
        await reader.readline()
    await reader.readline()


async def read_body(reader, headers):
    if headers.get("transfer-encoding") == "chunked":
        return b"".join([piece async for piece in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", 0)))


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def serve(handle, port=0):
    """Serve HTTP; ``handle`` gets a message and the writer."""

    async def connected(reader, writer):
        with contextlib.suppress(
            ConnectionError,
            asyncio.IncompleteReadError,
            ValueError,
            # At the end of the play.
            asyncio.CancelledError,
        ):
            while (head := await read_head(reader)) is not None:
                (method, target, _), headers = head
                body = await read_body(reader, headers)
                message = Message(method, target, headers, body)
                await handle(message, reader, writer)
                await writer.drain()
        writer.close()

    return await asyncio.start_server(
        connected, HOST, port, limit=16 * 1024 * 1024
    )


class Store:
    """The platform's store: objects, revisions, watches and history.

    Specifications are kept as JSON texts, as a store does that does not look
    into them. ``turned_away`` holds the ports at which calls get a 503.
    """

    def __init__(self, record):
        self._record = record
        self._objects = {}
        self._events = []
        self._revision = 0
        self._changed = asyncio.Event()
        self.turned_away = set()
        self.answer_bytes = []

    async def listen(self):
        """Open a port and return it; each entry gets its own."""
        server = await serve(self._handle)
        return server.sockets[0].getsockname()[1]

    def write(self, kind, name, text):
        """Write an object as another writer; the return is its ack."""
        self._revision += 1
        self._objects.setdefault(kind, {})[name] = (self._revision, text)
        self._note(kind, name, text, gone=False)

    def remove(self, kind, name):
        self._revision += 1
        _, text = self._objects[kind].pop(name)
        self._note(kind, name, text, gone=True)

    def _note(self, kind, name, text, gone):
        event = (self._revision, kind, name, text, gone, time.monotonic())
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _oldest(self):
        """Return the revision up to which the history is forgotten."""
        since = time.monotonic() - HISTORY_SECONDS
        return max((e[0] for e in self._events if e[5] < since), default=0)

    async def _handle(self, message, reader, writer):
        port = writer.get_extra_info("sockname")[1]
        if port in self.turned_away:
            writer.write(response(503))
            return
        status, body = await self._answer(message, port)
        self.answer_bytes.append(len(body))
        writer.write(
            response(
                status, body.encode(), [("Content-Type", "application/json")]
            )
        )

    async def _answer(self, message, port):
        parts = message.path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if message.method == "GET" and name:
            found = self._objects.get(kind, {}).get(name)
            if found is None:
                return 404, "{}"
            return 200, _object(name, *found)
        if message.method == "GET" and "watch" in message.query:
            return await self._watch(kind, message, port)
        if message.method == "GET":
            return 200, self._list(kind, message)
        return self._put(kind, name, json.loads(message.body))

    def _list(self, kind, message):
        after = message.query.get("after_revision", "")
        items, size, more = [], 0, False
        for name, found in sorted(self._objects.get(kind, {}).items()):
            if name <= after:
                continue
            if items and (len(items) >= 500 or size > 1_000_000):
                more = True
                break
            items.append(_object(name, *found))
            size += len(items[-1])
        return (
            f'{{"items":[{",".join(items)}],"has_more":{json.dumps(more)},'
            f'"timestamp":{self._revision}}}'
        )

    async def _watch(self, kind, message, port):
        after = int(message.query["watch"])
        seconds = int(message.query.get("wait_ms", 0)) / 1000.0
        until = time.monotonic() + seconds
        while True:
            if after < self._oldest():
                return 410, "{}"
            if port in self.turned_away:
                return 503, "{}"
            found = [
                event
                for event in self._events
                if event[0] > after and event[1] == kind
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                events = ",".join(
                    f'{{"object":{_object(name, revision, text)},'
                    f'"tombstone":{json.dumps(gone)}}}'
                    for revision, _, name, text, gone, _ in found
                )
                return (
                    200,
                    f'{{"events":[{events}],"timestamp":{self._revision}}}',
                )
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _put(self, kind, name, body):
        metadata = body["metadata"]
        name = name or metadata["name"]
        found = self._objects.get(kind, {}).get(name)
        expected = metadata.get("revision", 0)
        if (found[0] if found else 0) != expected:
            return 409, _object(name, *found) if found else "{}"
        text = json.dumps(body["specification"])
        if found is None or found[1] != text:
            self.write(kind, name, text)
        return 200, _object(name, *self._objects[kind][name])


def _object(name, revision, text):
    metadata = {"name": name, "revision": revision, "finalizers": []}
    return f'{{"metadata":{json.dumps(metadata)},"specification":{text}}}'


class Engine:
    """An instance of a service: an application or a model engine.

    Runs a request only if it is the instance that the request expects, and
    drops it once its channel closes. ``runs`` holds one dictionary for each
    request that it has begun.

    :param work: seconds that a call takes.
    :param card: accelerator type; a model engine if it is given.
    """

    _numbers = itertools.count(1)

    def __init__(self, record, store, service, zone, work=0.1, card=""):
        self._record = record
        self._store = store
        self.service = service
        self.zone = zone
        self.card = card
        self._work = work
        self.id = f"i-{next(self._numbers):04d}"
        self.runs = []
        self.layers = None
        self.state = "ready"
        self._orders = 0
        self._busy = False
        self._server = None

    @property
    def address(self):
        return "%s:%d" % self._server.sockets[0].getsockname()

    async def start(self):
        self._server = await serve(self._handle)
        self.write_entry()

    def entry(self):
        """Return the engine's entry in the store."""
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 96 if self.card else 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence_number": self._orders,
        }
        if self.card:
            body |= {"stage": "combined", "route_kind": self.card}
            body["models"] = [{"name": "m", "version": 1, "adapters": []}]
        if self.layers:
            body["layers"] = self.layers
        return body

    def write_entry(self):
        self._store.write("servers", self.id, json.dumps(self.entry()))

    def drain(self):
        self.state = "draining"
        self.write_entry()

    async def _handle(self, message, reader, writer):
        expected = message.headers.get("x-expected-instance", self.id)
        if expected != self.id:
            writer.write(response(421, b"", [("X-Instance-Id", self.id)]))
        elif message.path == "/api/report" and self.card:
            writer.write(response(200, self._report()))
        elif message.path == "/api/order" and self.card:
            self._order(json.loads(message.body), writer)
        elif "x-request-id" not in message.headers:
            writer.write(response(400, b"", [("X-Not-Executed", "1")]))
        else:
            await self._run(message, reader, writer)

    def _report(self):
        body = self.entry() | {
            "busy": self._busy,
            "waiting": 0,
            "running": sum(1 for run in self.runs if run["end"] is None),
            "kv_cache_used": 0,
            "kv_cache_total": 1_000_000,
            "handles": 0,
            "pace": 1.0,
            "stalled": [],
        }
        return json.dumps(body).encode()

    def _order(self, body, writer):
        if body.get("operation") != "place":
            writer.write(response(404))
            return
        layers = {
            "from": body["from"],
            "target_version": body["target_version"],
            "version": 1,
        }
        if layers == self.layers:
            writer.write(response(200))
        elif body.get("expected_revision", self._orders) != self._orders:
            writer.write(response(409))
        else:
            self._orders += 1
            self._busy = True
            asyncio.get_running_loop().call_later(0.3, self._load, layers)
            writer.write(response(202))

    def _load(self, layers):
        self.layers, self._busy = layers, False
        self.write_entry()

    async def _run(self, message, reader, writer):
        run = {
            "id": message.headers["x-request-id"],
            "at": time.monotonic(),
            "tenant": message.headers.get("x-tenant", ""),
            "target": message.target,
            "end": None,
        }
        self.runs.append(run)
        self._record.line(
            f"run      {run['id']} at {self.id} ({self.service}) "
            f"tenant={run['tenant'] or '-'}"
        )
        headers = [
            ("X-Request-Id", run["id"]),
            ("X-Response-Signature", f"{self.id}.{run['id']}"),
            ("X-Weight-Versions", "1"),
        ]
        gone = asyncio.ensure_future(reader.read(1))
        try:
            if self.card:
                await self._stream(headers, writer, gone, run)
            else:
                await asyncio.wait([gone], timeout=self._work)
                if not gone.done():
                    writer.write(response(200, b"x" * 800, headers))
                    run["end"] = "answered"
        finally:
            gone.cancel()
            with contextlib.suppress(BaseException):
                await gone
            run["end"] = run["end"] or "its channel closed"

    async def _stream(self, headers, writer, gone, run):
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        head += ["Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in headers]
        await asyncio.wait([gone], timeout=0.06)
        writer.write("\r\n".join([*head, "", ""]).encode())
        for number in range(43):
            if gone.done() or writer.is_closing():
                return
            event = f"id: {number}\ndata: {run['id']}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.wait([gone], timeout=0.05)
        writer.write(b"0\r\n\r\n")
        run["end"] = "answered"


class Entry:
    """An entry, as a process of its own that the platform starts again."""

    def __init__(self, record, folder, name, zone, store_port):
        self._record = record
        self._folder = folder
        self.name = name
        self.zone = zone
        self.store_port = store_port
        self.port, self._status_port, self._peer_port = free_ports(3)
        self.is_ready = False
        self.own_ends = []
        self.started_at = None
        self._process = None
        self._stopping = False
        self._starts = 0

    async def start(self):
        config = self._folder / f"{self.name}.ini"
        config.write_text(self._config(), encoding="utf-8")
        log = open(self._folder / f"{self.name}.log", "ab")
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self._process = await asyncio.create_subprocess_exec(
            "python3",
            "deploy/crowdeckd.py",
            "--config",
            str(config),
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        log.close()
        self._starts += 1
        self.started_at = time.monotonic()
        self._record.line(f"start    {self.name} pid {self._process.pid}")

    def signal(self, number):
        self._process.send_signal(number)

    async def supervise(self):
        """Start the process again when it ends, as the platform does."""
        while True:
            code = await self._process.wait()
            self.is_ready = False
            if self._stopping:
                return
            self.own_ends.append(time.monotonic())
            self._record.line(f"end      {self.name} by itself, code {code}")
            await asyncio.sleep(RESTART_SECONDS)
            if self._stopping:
                return
            await self.start()

    async def probe(self):
        """Ask for readiness each second; two misses take the entry out."""
        misses = 0
        while True:
            status = await self._readiness()
            misses = 0 if status == 200 else misses + 1
            if status == 200 or misses >= 2:
                self.is_ready = status == 200
            await asyncio.sleep(1.0)

    async def _readiness(self):
        with contextlib.suppress(OSError, asyncio.TimeoutError, TypeError):
            return await asyncio.wait_for(self._ask_readiness(), 1.0)
        return 0

    async def _ask_readiness(self):
        reader, writer = await asyncio.open_connection(HOST, self._status_port)
        writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        (_, status, *_), _ = await read_head(reader)
        writer.close()
        return int(status)

    async def stop(self):
        self._stopping = True
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGCONT)
                self._process.kill()
            await self._process.wait()

    def _config(self):
        """Return ``deploy/entry.ini`` with its gaps filled in."""
        values = {
            "node_name": self.name,
            "zone": self.zone,
            "ip_address": HOST,
            "platform.address": f"{HOST}:{self.store_port}",
            "listen_addresses.frontend": f"{HOST}:{self.port}",
            "listen_addresses.readiness": f"{HOST}:{self._status_port}",
            "internal_port_range.0": self._peer_port,
            "limits.link_mbps": "1000.0",
            "bounds.revocation_ms": REVOCATION_MS,
            "bounds.grace_period_s": GRACE_SECONDS,
            "bootstrap": "true" if not self._starts else "false",
            "bounds.retry_budget_ratio": 0.2,
            "bounds.retry_budget_slack": 198,
            "bounds.budget_window_s": 10,
            "contracts": CONTRACTS,
        }
        text = (ROOT / "deploy" / "entry.ini").read_text(encoding="utf-8")
        for name, value in values.items():
            text = text.replace("{{%s}}" % name, str(value))
        return text


class Channel:
    """A requester's channel to one entry."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.answers = 0

    def close(self):
        self.writer.close()


class Requester:
    """Sends requests to the entries of its zone, on kept channels.

    ``sent`` holds one dictionary for each request: id, entry, whether its
    channel was kept, and how it ended: a status, ``closed`` (the channel
    closed without a complete answer), ``left``, ``unsent``, or ``open`` if it
    has not.
    """

    _numbers = itertools.count(1)

    def __init__(self, record, entries, zone, key="", host="ficu95.example"):
        self._record = record
        self._entries = entries
        self._zone = zone
        self._key = key
        self._host = host
        self._rng = random.Random(next(self._numbers))
        self._channel = None
        self._entry = None
        self.sent = []

    def _choose(self):
        zone = [e for e in self._entries if e.zone == self._zone]
        ready = [e for e in zone if e.is_ready]
        ready = ready or [e for e in self._entries if e.is_ready] or zone
        return self._rng.choice(ready)

    async def request(self, method, path, seconds=20.0, headers=()):
        """Send one request and return its record."""
        sent = {
            "id": f"{next(self._numbers):016x}",
            "at": time.monotonic(),
            "path": path,
            "key": self._key,
            "status": "unsent",
            "entry": "",
            "kept": False,
        }
        self.sent.append(sent)
        try:
            await asyncio.wait_for(
                self._exchange(sent, method, path, seconds, headers), seconds
            )
        except (
            OSError,
            ValueError,
            TypeError,
            asyncio.IncompleteReadError,
            asyncio.TimeoutError,
        ) as error:
            self._drop()
            if isinstance(error, asyncio.TimeoutError):
                sent["status"] = "left"
            elif sent["status"] == "open":
                sent["status"] = "closed"
        sent["end"] = time.monotonic()
        self._record.line(
            f"answer   {sent['id']} from {sent['entry']} {path} "
            f"{'kept' if sent['kept'] else 'new'}: {sent['status']}"
        )
        return sent

    def _drop(self):
        if self._channel is not None:
            self._channel.close()
        self._channel = None

    async def _exchange(self, sent, method, path, seconds, headers):
        if self._channel is None or self._channel.reader.at_eof():
            self._drop()
            self._entry = self._choose()
            sent["entry"] = self._entry.name
            self._channel = Channel(
                *await asyncio.open_connection(HOST, self._entry.port)
            )
        channel = self._channel
        sent["entry"], sent["kept"] = self._entry.name, channel.answers > 0
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._host}"]
        lines += [f"X-Request-Id: {sent['id']}"]
        lines += [f"X-Request-Deadline: {int(seconds * 1000)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if self._key:
            lines += [f"Authorization: Token {self._key}"]
        body = b"x" * 80 if method == "POST" else b""
        lines += [f"Content-Length: {len(body)}"] if body else []
        channel.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        sent["status"] = "open"
        (_, status, *_), found = await read_head(channel.reader)
        await read_body(channel.reader, found)
        sent["status"] = int(status)
        sent["signed"] = "x-response-signature" in found
        channel.answers += 1
        if found.get("connection", "").lower() == "close":
            self._drop()

    def close(self):
        self._drop()


class Case:
    """Runs a script's play and cleans up after it."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.store = None
        self.entries = []
        self.engines = []
        self.requesters = []
        self.tasks = []
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="crowdeck-"))

    def run(self, play):
        """Run ``play(case)`` and exit with the verdict that it returns."""
        try:
            verdict = asyncio.run(self._run(play))
        except CannotRun as error:
            self.record.line(f"cannot run: {error}")
            verdict = NOT_RUN
        self.record.line(f"verdict  {verdict}")
        self.record.close()
        if os.environ.get("KEEP"):
            print(self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)
        sys.exit(verdict)

    async def _run(self, play):
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing; run the build first")
        self.store = Store(self.record)
        try:
            return await asyncio.wait_for(play(self), 110.0)
        except asyncio.TimeoutError:
            raise CannotRun("the play took too long") from None
        finally:
            for task in self.tasks:
                task.cancel()
            for entry in self.entries:
                await entry.stop()

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def add_engine(self, *arguments, **options):
        engine = Engine(self.record, self.store, *arguments, **options)
        await engine.start()
        self.engines.append(engine)
        return engine

    async def add_entry(self, name, zone):
        port = await self.store.listen()
        entry = Entry(self.record, self._folder, name, zone, port)
        self.entries.append(entry)
        await entry.start()
        self.spawn(entry.supervise())
        self.spawn(entry.probe())
        return entry

    def add_requester(self, zone, **options):
        requester = Requester(self.record, self.entries, zone, **options)
        self.requesters.append(requester)
        return requester

    async def wait_ready(self, seconds=20.0):
        until = time.monotonic() + seconds
        while not all(entry.is_ready for entry in self.entries):
            if time.monotonic() > until:
                raise CannotRun("the entries did not become ready")
            await asyncio.sleep(0.1)

    def runs(self):
        """Return all runs by the request's id."""
        found = {}
        for engine in self.engines:
            for run in engine.runs:
                found.setdefault(run["id"], []).append(run | {"by": engine})
        return found

    def sent(self):
        return [each for one in self.requesters for each in one.sent]
