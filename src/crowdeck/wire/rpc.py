# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Links over TCP, by Cap'n Proto RPC.

One task per link sends its records: it takes all that is queued into one
call and queues more while that call is in flight. The slower the link,
the larger its batches, which is what makes one call per token needless.
"""

import collections
import contextlib
import itertools
import traceback
import typing

import anyio
import anyio.abc
import capnp

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck import verdict as verdicts
from crowdeck.wire import codec
from crowdeck.wire import link
from crowdeck.wire import messages
from crowdeck.wire import questions
from crowdeck.wire import security

DIAL_TIMEOUT = 2.0
# A batch of 512 decode records is about 64 KiB, one TCP window; larger
# ones gained nothing in the figures of docs/decisions/0003.
BATCH_LIMIT = 512
# Records one link may hold back. A path has one step in flight for each
# of its attempts, so this is an order above any sidecar's attempts.
QUEUE_LIMIT = 65_536


TlsContexts = security.TlsContexts


class RpcPeer:
    """The far end of a TCP link."""

    def __init__(
        self,
        endpoint: typing.Any,
        greeting: messages.Greeting,
        handler: link.Handler,
    ) -> None:
        self._endpoint = endpoint
        self._greeting = greeting
        self._handler = handler
        self._outgoing: collections.deque[messages.Record] = (
            collections.deque()
        )
        self._wake = anyio.Event()
        self._closed = anyio.Event()

    @property
    def greeting(self) -> messages.Greeting:
        """What the far end said of itself."""
        return self._greeting

    @property
    def is_open(self) -> bool:
        """Whether the link still carries messages."""
        return not self._closed.is_set()

    def send(self, record: messages.Record) -> None:
        """Queue a record for the next batch."""
        if not self.is_open:
            return
        if len(self._outgoing) >= QUEUE_LIMIT:
            counters.COUNTERS.add("link.closed_full")
            self.close()
            return
        self._outgoing.append(record)
        self._wake.set()

    async def ask(
        self, question: questions.Question, timeout: float
    ) -> questions.Reply:
        """Ask a question and wait for its reply."""
        name = self._greeting.instance
        if not self.is_open:
            raise errors.LinkLost(
                f"the link to {name} is closed", was_sent=False, culprit=name
            )
        encoded = codec.QUESTIONS.encode(question)
        try:
            with anyio.fail_after(timeout):
                answer = await self._endpoint.ask(encoded)
        except TimeoutError:
            raise errors.LinkLost(
                f"{name} did not reply within {timeout:g} s",
                was_sent=True,
                culprit=name,
            ) from None
        except capnp.KjException:
            raise errors.LinkLost(
                f"the link to {name} was lost", was_sent=True, culprit=name
            ) from None
        reply: questions.Reply = codec.REPLIES.decode(answer.reply)
        return reply

    async def wait_closed(self) -> None:
        """Return once the link is closed."""
        await self._closed.wait()

    def close(self) -> None:
        """Close the link; its task does the rest."""
        self._closed.set()
        self._wake.set()

    async def run(self, disconnected: typing.Any) -> None:
        """Send records until the link closes, then tell the handler.

        :param disconnected: awaitable that ends with the TCP connection.
        """
        self._handler.on_opened(self)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_batches)
                tasks.start_soon(self._watch, disconnected)
                await self._closed.wait()
                tasks.cancel_scope.cancel()
        finally:
            self._closed.set()
            self._outgoing.clear()
            self._handler.on_closed(self)

    async def _watch(self, disconnected: typing.Any) -> None:
        # Any way in which the connection ends is the same to us.
        with contextlib.suppress(capnp.KjException):
            await disconnected
        self.close()

    async def _send_batches(self) -> None:
        while self.is_open:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._outgoing and self.is_open:
                await self._send_batch()

    async def _send_batch(self) -> None:
        batch = [
            self._outgoing.popleft()
            for _ in range(min(len(self._outgoing), BATCH_LIMIT))
        ]
        try:
            await self._endpoint.deliver(codec.encode_runs(batch))
        except capnp.KjException:
            self.close()


class _Endpoint(codec.SCHEMA.Endpoint.Server):
    """Our own end of one link, as the far end calls it."""

    def __init__(
        self, greeting: messages.Greeting, handler: link.Handler
    ) -> None:
        self._greeting = greeting
        self._handler = handler
        self._greeted = anyio.Event()
        self.peer: RpcPeer | None = None

    async def greet(
        self, greeting: typing.Any, back: typing.Any, **_: typing.Any
    ) -> typing.Any:
        theirs = codec.decode_greeting(greeting)
        if theirs.cluster == self._greeting.cluster and self.peer is None:
            self.peer = RpcPeer(back, theirs, self._handler)
        self._greeted.set()
        return codec.encode_greeting(self._greeting)

    async def deliver(self, runs: typing.Any, **_: typing.Any) -> None:
        peer = self.peer
        if peer is None or not peer.is_open:
            return
        try:
            for record in codec.decode_runs(runs):
                self._handler.on_record(peer, record)
        except errors.CrowdeckError as error:
            self._close_for(peer, error)
        except Exception as error:
            # A fault of our own in one record must neither pass unseen
            # nor cross the link as a stack trace, file names and all.
            _note_internal(error)
            peer.close()

    async def ask(self, question: typing.Any, **_: typing.Any) -> typing.Any:
        # What is raised here would cross the link with its stack trace,
        # file names and all; so nothing may be raised.
        try:
            peer = self._require_peer()
            asked = codec.QUESTIONS.decode(question)
            reply = await self._handler.on_question(peer, asked)
        except errors.CrowdeckError as error:
            reply = questions.Refused.of(error)
        except Exception as error:
            _note_internal(error)
            reply = questions.Refused.of(_internal(error))
        return codec.REPLIES.encode(reply)

    async def wait_greeted(self) -> RpcPeer | None:
        """Return the peer, or ``None`` for one that is not of our own."""
        await self._greeted.wait()
        return self.peer

    def _require_peer(self) -> RpcPeer:
        if self.peer is None:
            raise errors.CrowdeckError(
                errors.Code.FOREIGN, "greet first, with this cluster's name"
            )
        return self.peer

    def _close_for(self, peer: RpcPeer, error: errors.CrowdeckError) -> None:
        counters.COUNTERS.add(f"link.closed.{error.code.lower()}")
        peer.close()


def _note_internal(error: Exception) -> None:
    counters.COUNTERS.add("link.internal_error")
    # Its text may hold a caller's words; its kind and place do not.
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].name}:{frames[-1].lineno}" if frames else ""
    logs.change("internal_error", error=type(error).__name__, place=place)


def _internal(error: Exception) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.INTERNAL,
        f"an unexpected {type(error).__name__}",
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
    )


class RpcTransport:
    """Dials peers over TCP and serves those that dial us.

    Use it as an asynchronous context manager inside ``capnp.kj_loop()``.
    """

    def __init__(
        self,
        greeting: messages.Greeting,
        handler: link.Handler,
        security: TlsContexts | None = None,
    ) -> None:
        self._greeting = greeting
        self._handler = handler
        self._security = security or TlsContexts()
        self._stack = contextlib.AsyncExitStack()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._accepted: dict[int, anyio.CancelScope] = {}
        self._keys = itertools.count()

    async def __aenter__(self) -> "RpcTransport":
        self._tasks = await self._stack.enter_async_context(
            anyio.create_task_group()
        )
        return self

    async def __aexit__(self, *exc_info: typing.Any) -> None:
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()
        # The library runs accepted links in tasks of its own, outside
        # our group; they are ended by their scopes.
        for scope in list(self._accepted.values()):
            scope.cancel()
        await self._stack.__aexit__(*exc_info)

    async def dial(self, address: instances.Address) -> RpcPeer:
        """Open a link to ``address``."""
        assert self._tasks is not None, "enter the transport first"
        try:
            with anyio.fail_after(DIAL_TIMEOUT):
                peer: RpcPeer = await self._tasks.start(
                    self._run_dialled, address
                )
                return peer
        except (OSError, TimeoutError, capnp.KjException) as error:
            raise errors.LinkLost(
                f"no link to {address}: {type(error).__name__}",
                was_sent=False,
                culprit="",
            ) from None

    async def _run_dialled(
        self,
        address: instances.Address,
        *,
        task_status: anyio.abc.TaskStatus[RpcPeer],
    ) -> None:
        with contextlib.ExitStack() as stack:
            stream = await capnp.AsyncIoStream.create_connection(
                address.host, address.port, ssl=self._security.client
            )
            stack.callback(stream.close)
            client = capnp.TwoPartyClient(stream)
            stack.callback(client.close)
            endpoint = client.bootstrap().cast_as(codec.SCHEMA.Endpoint)
            ours = _Endpoint(self._greeting, self._handler)
            answer = await endpoint.greet(
                codec.encode_greeting(self._greeting), ours
            )
            theirs = codec.decode_greeting(answer.greeting)
            self._require_own(theirs)
            peer = RpcPeer(endpoint, theirs, self._handler)
            ours.peer = peer
            task_status.started(peer)
            await peer.run(client.on_disconnect())

    def _require_own(self, theirs: messages.Greeting) -> None:
        if theirs.cluster != self._greeting.cluster:
            raise ConnectionRefusedError("the peer is of another cluster")

    async def serve(
        self,
        address: instances.Address,
        *,
        task_status: anyio.abc.TaskStatus[
            instances.Address
        ] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept links until cancelled; reports the address it got."""
        server = await capnp.AsyncIoStream.create_server(
            self._accept,
            address.host,
            address.port,
            ssl=self._security.server,
        )
        try:
            port = server.sockets[0].getsockname()[1]
            task_status.started(instances.Address(address.host, port))
            await server.serve_forever()
        finally:
            server.close()

    async def _accept(self, stream: typing.Any) -> None:
        key = next(self._keys)
        with anyio.CancelScope() as scope:
            self._accepted[key] = scope
            try:
                await self._run_accepted(stream)
            except capnp.KjException:
                # Bytes that are no RPC at all end here; nobody else is
                # touched, since each connection has its own state.
                counters.COUNTERS.add("link.closed.malformed")
            finally:
                del self._accepted[key]
                stream.close()

    async def _run_accepted(self, stream: typing.Any) -> None:
        ours = _Endpoint(self._greeting, self._handler)
        server = capnp.TwoPartyServer(stream, bootstrap=ours)
        peer: RpcPeer | None = None
        with anyio.move_on_after(DIAL_TIMEOUT):
            peer = await ours.wait_greeted()
        if peer is None:
            counters.COUNTERS.add("link.closed.foreign")
            # A foreign dialler must still get the greeting that tells
            # it so, before the connection goes.
            await anyio.sleep(0)
            return
        await peer.run(server.on_disconnect())
