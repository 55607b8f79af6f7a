# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Links over TCP, with Cap'n Proto RPC.

One task per link sends its records in batches: records that are queued while
a call is in flight are sent together in the next call.
"""

import asyncio
import collections
import contextlib
import functools
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
from crowdeck.serving import account as accounts
from crowdeck.serving import listener as listeners
from crowdeck import verdict as verdicts
from crowdeck.wire import codec
from crowdeck.wire import link
from crowdeck.wire import messages
from crowdeck.wire import questions
from crowdeck.wire import security
from crowdeck.wire import streams

# Also limits the wait for the greeting of an accepted connection.
DIAL_TIMEOUT_SECONDS = 2.0
# Maximum number of records in one call. 512 decode records are about 64 KiB,
# one TCP window; larger batches gained nothing in docs/decisions/0003.
BATCH_LIMIT = 512
# Maximum number of records queued on one link; more close the link. A path has
# one step in flight for each of its attempts, so this is ten times more than
# the attempts of any sidecar.
QUEUE_LIMIT = 65_536


TlsContexts = security.TlsContexts


class RpcPeer:
    """The remote end of a TCP link."""

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
        """The greeting of the remote end."""
        return self._greeting

    @property
    def is_open(self) -> bool:
        """Whether the link still carries messages."""
        return not self._closed.is_set()

    def send(self, record: messages.Record) -> None:
        """Queue a record for the next batch; a full queue closes the link."""
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
        """Send a question and wait for its reply.

        :param timeout: time to wait, in seconds.
        :raises LinkLost: if there was no reply.
        :raises CrowdeckError: ``MALFORMED`` if the reply cannot be decoded.
        """
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
        """Close the link; ``run`` then cleans up."""
        self._closed.set()
        self._wake.set()

    async def run(self, disconnected: typing.Any) -> None:
        """Send records until the link closes, then notify the handler.

        :param disconnected: awaitable that completes when the TCP connection
            ends.
        """
        self._handler.on_opened(self)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_batches)
                tasks.start_soon(self._wait_disconnected, disconnected)
                await self._closed.wait()
                tasks.cancel_scope.cancel()
        finally:
            self._closed.set()
            self._outgoing.clear()
            self._handler.on_closed(self)

    async def _wait_disconnected(self, disconnected: typing.Any) -> None:
        # An error of the connection ends the link like a normal close.
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
    """The local end of a link, which the remote end calls."""

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
        remote = codec.decode_greeting(greeting)
        if remote.cluster == self._greeting.cluster and self.peer is None:
            self.peer = RpcPeer(back, remote, self._handler)
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
            self._close_on_error(peer, error)
        except Exception as error:
            # An internal error must be reported here, and its traceback
            # must not be sent to the peer.
            _report_internal_error(error)
            peer.close()

    async def ask(self, question: typing.Any, **_: typing.Any) -> typing.Any:
        # Nothing may be raised here, as pycapnp would send the traceback to
        # the peer.
        try:
            peer = self._require_peer()
            asked = codec.QUESTIONS.decode(question)
            reply = await self._handler.on_question(peer, asked)
        except errors.CrowdeckError as error:
            reply = questions.Refused.of(error)
        except Exception as error:
            _report_internal_error(error)
            reply = questions.Refused.of(_internal_error(error))
        return codec.REPLIES.encode(reply)

    async def wait_greeted(self) -> RpcPeer | None:
        """Wait for the greeting, without a timeout, and return the peer.

        :return: ``None`` if the peer belongs to another cluster.
        """
        await self._greeted.wait()
        return self.peer

    def _require_peer(self) -> RpcPeer:
        if self.peer is None:
            raise errors.CrowdeckError(
                errors.Code.FOREIGN,
                "the first call must be a greeting from the same cluster",
            )
        return self.peer

    def _close_on_error(
        self, peer: RpcPeer, error: errors.CrowdeckError
    ) -> None:
        counters.COUNTERS.add(f"link.closed.{error.code.lower()}")
        peer.close()


def _report_internal_error(error: Exception) -> None:
    counters.COUNTERS.add("link.internal_error")
    # The error's text is not logged: it may contain content of callers.
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].name}:{frames[-1].lineno}" if frames else ""
    logs.change("internal_error", error=type(error).__name__, place=place)


def _internal_error(error: Exception) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.INTERNAL,
        f"internal error: {type(error).__name__}",
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
    )


class RpcTransport:
    """Opens links to peers over TCP and accepts links from them.

    Use it as an asynchronous context manager inside ``capnp.kj_loop()``.
    """

    def __init__(
        self,
        greeting: messages.Greeting,
        handler: link.Handler,
        security: TlsContexts | None = None,
        listener_account: accounts.ListenerAccount | None = None,
    ) -> None:
        self._greeting = greeting
        self._handler = handler
        self._security = security or TlsContexts()
        self._listener_account = listener_account
        self._stack = contextlib.AsyncExitStack()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._accepted_scopes: dict[int, anyio.CancelScope] = {}
        self._keys = itertools.count()

    async def __aenter__(self) -> "RpcTransport":
        self._tasks = await self._stack.enter_async_context(
            anyio.create_task_group()
        )
        return self

    async def __aexit__(self, *exc_info: typing.Any) -> None:
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()
        # pycapnp runs accepted links in tasks outside of the task group, so
        # their scopes are cancelled one by one.
        for scope in list(self._accepted_scopes.values()):
            scope.cancel()
        await self._stack.__aexit__(*exc_info)

    async def dial(self, address: instances.Address) -> RpcPeer:
        """Open a link to ``address``.

        :raises LinkLost: if the connection fails.
        """
        assert self._tasks is not None, "enter the transport first"
        try:
            with anyio.fail_after(DIAL_TIMEOUT_SECONDS):
                peer: RpcPeer = await self._tasks.start(
                    self._run_dialled, address
                )
                return peer
        except (OSError, TimeoutError, capnp.KjException) as error:
            raise errors.LinkLost(
                f"cannot open a link to {address}: {type(error).__name__}",
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
            local_endpoint = _Endpoint(self._greeting, self._handler)
            answer = await endpoint.greet(
                codec.encode_greeting(self._greeting), local_endpoint
            )
            remote = codec.decode_greeting(answer.greeting)
            self._require_same_cluster(remote)
            peer = RpcPeer(endpoint, remote, self._handler)
            local_endpoint.peer = peer
            task_status.started(peer)
            await peer.run(client.on_disconnect())

    def _require_same_cluster(self, remote: messages.Greeting) -> None:
        if remote.cluster != self._greeting.cluster:
            raise ConnectionRefusedError("the peer belongs to another cluster")

    async def serve(
        self,
        address: instances.Address,
        *,
        task_status: anyio.abc.TaskStatus[
            instances.Address
        ] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept links until cancelled.

        Reports the bound address through ``task_status``.
        """
        loop = asyncio.get_running_loop()
        listener_account = self._listener_account
        if listener_account is None:
            account = accounts.Account(accounts.size_for())
            listener_account = account.open_listener("links")
        server = await loop.create_server(
            functools.partial(self._make_stream, listener_account),
            sock=listeners.listen(
                address.host, address.port, listener_account
            ),
            ssl=self._security.server,
            backlog=listeners.ACCEPT_BATCH,
        )
        try:
            port = server.sockets[0].getsockname()[1]
            task_status.started(instances.Address(address.host, port))
            await server.serve_forever()
        finally:
            server.close()

    def _make_stream(
        self, listener_account: accounts.ListenerAccount
    ) -> asyncio.BaseProtocol:
        link_stream = streams.LinkStream(listener_account)
        # Same as AsyncIoStream.create_server, which counts no bytes.
        link_stream.inner = capnp.AsyncIoStream._connect(
            functools.partial(self._accept, link_stream)
        )
        return link_stream

    async def _accept(
        self, link_stream: streams.LinkStream, stream: typing.Any
    ) -> None:
        key = next(self._keys)
        with anyio.CancelScope() as scope:
            self._accepted_scopes[key] = scope
            try:
                await self._run_accepted(link_stream, stream)
            except capnp.KjException:
                # The peer did not speak Cap'n Proto RPC. Other connections
                # are not affected.
                counters.COUNTERS.add("link.closed.malformed")
            finally:
                del self._accepted_scopes[key]
                stream.close()

    async def _run_accepted(
        self, link_stream: streams.LinkStream, stream: typing.Any
    ) -> None:
        endpoint = _Endpoint(self._greeting, self._handler)
        server = capnp.TwoPartyServer(stream, bootstrap=endpoint)
        peer: RpcPeer | None = None
        with anyio.move_on_after(DIAL_TIMEOUT_SECONDS):
            peer = await endpoint.wait_greeted()
        if peer is None:
            counters.COUNTERS.add("link.closed.foreign")
            # No greeting arrived in time, or the peer belongs to another
            # cluster; then the reply, which names the cluster, must be sent
            # before the link closes.
            await anyio.sleep(0)
            return
        link_stream.lift_limit()
        await peer.run(server.on_disconnect())
