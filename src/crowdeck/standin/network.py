# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""In-memory links with injected faults, for tests in virtual time.

Programs that embed crowdeck can use it to test their handling of network
failures: broken links, suspended processes and lost replies.
"""

from collections import abc
import contextlib
import typing

import anyio
import anyio.abc

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.wire import link
from crowdeck.wire import messages
from crowdeck.wire import questions

DEFAULT_DELAY_SECONDS = 0.0005


class Fault(typing.Protocol):
    """Decides how one message is delivered."""

    def __call__(
        self, source: str, target: str, message: typing.Any
    ) -> abc.Iterable[float]:
        """Return the extra delay in seconds of each copy to deliver.

        An empty result loses the message.
        """
        ...


def no_fault(
    source: str, target: str, message: typing.Any
) -> abc.Iterable[float]:
    """Deliver every message once, without extra delay."""
    return (0.0,)


class MemoryNetwork:
    """The links between the processes of one test."""

    def __init__(
        self, tasks: anyio.abc.TaskGroup, delay: float = DEFAULT_DELAY_SECONDS
    ) -> None:
        self._tasks = tasks
        self._delay = delay
        self._nodes: dict[instances.Address, MemoryTransport] = {}
        self._frozen: dict[str, anyio.Event] = {}
        self._cut_links: set[frozenset[str]] = set()
        self.fault: Fault = no_fault

    @property
    def delay(self) -> float:
        """One-way delay of every link, in seconds."""
        return self._delay

    @property
    def nodes(self) -> "tuple[MemoryTransport, ...]":
        """Every process on the network."""
        return tuple(self._nodes.values())

    def join(
        self,
        address: instances.Address,
        greeting: messages.Greeting,
        handler: link.Handler,
    ) -> "MemoryTransport":
        """Add a process to the network."""
        node = MemoryTransport(self, greeting, handler, self._tasks)
        self._nodes[address] = node
        return node

    def kill(self, name: str) -> None:
        """End a process: close its links and remove its address."""
        for address, node in list(self._nodes.items()):
            if node.greeting.instance == name:
                del self._nodes[address]
                node.close_all()

    def cut(self, first: str, second: str) -> None:
        """Close the links between two processes and prevent new ones."""
        self._cut_links.add(frozenset((first, second)))
        for node in self._nodes.values():
            if node.greeting.instance in (first, second):
                node.close_to(
                    second if node.greeting.instance == first else first
                )

    def reconnect(self, first: str, second: str) -> None:
        """Allow links between two processes again."""
        self._cut_links.discard(frozenset((first, second)))

    def freeze(self, name: str) -> None:
        """Suspend delivery to and from a process; its links stay open."""
        self._frozen.setdefault(name, anyio.Event())

    def thaw(self, name: str) -> None:
        """Resume a frozen process and deliver its pending messages."""
        event = self._frozen.pop(name, None)
        if event is not None:
            event.set()

    def find(
        self, source: str, address: instances.Address
    ) -> "MemoryTransport | None":
        """Return the process at ``address`` if ``source`` can reach it."""
        node = self._nodes.get(address)
        if node is None:
            return None
        if frozenset((source, node.greeting.instance)) in self._cut_links:
            return None
        return node

    async def wait_for_delivery(
        self, source: str, target: str, delay: float
    ) -> None:
        """Wait until a message from source to target is delivered."""
        await anyio.sleep(delay)
        for name in (source, target):
            while name in self._frozen:
                await self._frozen[name].wait()


class MemoryPeer:
    """The remote end of an in-memory link.

    :ivar opposite: the remote end's object for this link.
    """

    def __init__(
        self,
        network: MemoryNetwork,
        near: "MemoryTransport",
        far: "MemoryTransport",
    ) -> None:
        self._network = network
        self._near = near
        self._far = far
        self._closed = anyio.Event()
        self._sender, self._receiver = anyio.create_memory_object_stream[
            tuple[messages.Record, float]
        ](1_000_000)
        self.opposite: MemoryPeer | None = None

    @property
    def greeting(self) -> messages.Greeting:
        """The greeting of the remote end."""
        return self._far.greeting

    @property
    def is_open(self) -> bool:
        """Whether the link still carries messages."""
        return not self._closed.is_set()

    def send(self, record: messages.Record) -> None:
        """Send each copy of a record that the fault returns."""
        if not self.is_open:
            return
        for extra_delay in self._network.fault(*self._names, record):
            self._sender.send_nowait((record, extra_delay))

    async def ask(
        self, question: questions.Question, timeout: float
    ) -> questions.Reply:
        """Ask a question; the question or its reply can be lost."""
        source, target = self._names
        lost = errors.LinkLost(
            f"no reply from {target} within {timeout} s, "
            "or the link to it closed",
            was_sent=self.is_open,
            culprit=target,
        )
        if not self.is_open:
            raise lost
        replies: list[questions.Reply] = []
        with anyio.move_on_after(timeout):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._ask, question, replies, tasks)
                tasks.start_soon(self._end_when_closed, tasks)
        if not replies:
            raise lost
        return replies[0]

    async def wait_closed(self) -> None:
        """Return once the link is closed."""
        await self._closed.wait()

    def close(self) -> None:
        """Close both ends."""
        if not self.is_open:
            return
        self._closed.set()
        self._sender.close()
        self._near.forget(self)
        if self.opposite is not None:
            self.opposite.close()

    async def deliver_records(self) -> None:
        """Deliver this end's records to the remote end's handler, in order."""
        source, target = self._names
        with contextlib.closing(self._receiver):
            async for record, extra_delay in self._receiver:
                delay = self._network.delay + extra_delay
                await self._network.wait_for_delivery(source, target, delay)
                if self.opposite is not None and self.opposite.is_open:
                    self._far.handler.on_record(self.opposite, record)

    @property
    def _names(self) -> tuple[str, str]:
        return self._near.greeting.instance, self._far.greeting.instance

    async def _end_when_closed(self, tasks: anyio.abc.TaskGroup) -> None:
        await self._closed.wait()
        tasks.cancel_scope.cancel()

    async def _ask(
        self,
        question: questions.Question,
        replies: list[questions.Reply],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        source, target = self._names
        was_delivered = False
        for extra_delay in self._network.fault(source, target, question):
            delay = self._network.delay + extra_delay
            await self._network.wait_for_delivery(source, target, delay)
            # The remote end handles the question even if ask() times out.
            done = anyio.Event()
            result: list[questions.Reply] = []
            self._far.tasks.start_soon(self._serve, question, result, done)
            was_delivered = True
        if not was_delivered:
            # The question was lost: ask() ends at its timeout.
            await anyio.sleep_forever()
        await done.wait()
        for extra_delay in self._network.fault(target, source, result[0]):
            delay = self._network.delay + extra_delay
            await self._network.wait_for_delivery(target, source, delay)
            replies.append(result[0])
            tasks.cancel_scope.cancel()

    async def _serve(
        self,
        question: questions.Question,
        result: list[questions.Reply],
        done: anyio.Event,
    ) -> None:
        if self.opposite is None or not self.opposite.is_open:
            # The link or the process ended while the question was in transit.
            return
        try:
            result.append(
                await self._far.handler.on_question(self.opposite, question)
            )
        except errors.CrowdeckError as error:
            result.append(questions.Refused.of(error))
        done.set()


class MemoryTransport:
    """One process on a memory network."""

    def __init__(
        self,
        network: MemoryNetwork,
        greeting: messages.Greeting,
        handler: link.Handler,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._network = network
        self._peers: list[MemoryPeer] = []
        self.greeting = greeting
        self.handler = handler
        self.tasks = tasks

    async def dial(self, address: instances.Address) -> MemoryPeer:
        """Open a link to the process at ``address``.

        :raises LinkLost: if no process can be reached there.
        """
        await anyio.sleep(self._network.delay)
        far = self._network.find(self.greeting.instance, address)
        if far is None:
            raise errors.LinkLost(
                f"no process at {address}", was_sent=False, culprit=""
            )
        near_peer = MemoryPeer(self._network, self, far)
        far_peer = MemoryPeer(self._network, far, self)
        near_peer.opposite, far_peer.opposite = far_peer, near_peer
        far.add_peer(far_peer)
        self.add_peer(near_peer)
        return near_peer

    def add_peer(self, peer: MemoryPeer) -> None:
        """Register a new link and start delivering its records."""
        self._peers.append(peer)
        self.handler.on_opened(peer)
        self.tasks.start_soon(peer.deliver_records)

    def forget(self, peer: MemoryPeer) -> None:
        """Remove a closed link and notify the handler."""
        if peer in self._peers:
            self._peers.remove(peer)
            self.handler.on_closed(peer)

    def close_all(self) -> None:
        """Close every link of this process."""
        for peer in list(self._peers):
            peer.close()

    def close_to(self, name: str) -> None:
        """Close the links to another process."""
        for peer in list(self._peers):
            if peer.greeting.instance == name:
                peer.close()
