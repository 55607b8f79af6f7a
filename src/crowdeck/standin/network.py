# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Links in memory, with scripted faults, for tests in virtual time.

A program that embeds crowdeck's parts can use it to cause the failures
of a real network on purpose: cut links, frozen processes, lost replies.
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

DEFAULT_DELAY = 0.0005


class Fault(typing.Protocol):
    """Decides what happens to one message on its way."""

    def __call__(
        self, source: str, target: str, message: typing.Any
    ) -> abc.Iterable[float]:
        """Return the extra delay of each copy to deliver, none to lose."""
        ...


def no_fault(
    source: str, target: str, message: typing.Any
) -> abc.Iterable[float]:
    """Deliver every message once, without extra delay."""
    return (0.0,)


class MemoryNetwork:
    """All links between the processes of one test."""

    def __init__(
        self, tasks: anyio.abc.TaskGroup, delay: float = DEFAULT_DELAY
    ) -> None:
        self._tasks = tasks
        self._delay = delay
        self._nodes: dict[instances.Address, MemoryTransport] = {}
        self._frozen: dict[str, anyio.Event] = {}
        self._cut: set[frozenset[str]] = set()
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
        """Bring a process onto the network."""
        node = MemoryTransport(self, greeting, handler, self._tasks)
        self._nodes[address] = node
        return node

    def kill(self, name: str) -> None:
        """End a process: its links close and its address goes silent."""
        for address, node in list(self._nodes.items()):
            if node.greeting.instance == name:
                del self._nodes[address]
                node.close_all()

    def cut(self, one: str, other: str) -> None:
        """Close and bar the links between two processes."""
        self._cut.add(frozenset((one, other)))
        for node in self._nodes.values():
            if node.greeting.instance in (one, other):
                node.close_to(other if node.greeting.instance == one else one)

    def reconnect(self, one: str, other: str) -> None:
        """Allow links between two processes again."""
        self._cut.discard(frozenset((one, other)))

    def freeze(self, name: str) -> None:
        """Stop a process from receiving, its links still open."""
        self._frozen.setdefault(name, anyio.Event())

    def thaw(self, name: str) -> None:
        """Let a frozen process go on; what was sent to it arrives."""
        event = self._frozen.pop(name, None)
        if event is not None:
            event.set()

    def find(
        self, source: str, address: instances.Address
    ) -> "MemoryTransport | None":
        """Return who listens at ``address`` for ``source``."""
        node = self._nodes.get(address)
        if node is None:
            return None
        if frozenset((source, node.greeting.instance)) in self._cut:
            return None
        return node

    async def travel(self, source: str, target: str, delay: float) -> None:
        """Wait as long as a message from source to target takes."""
        await anyio.sleep(delay)
        for name in (source, target):
            while name in self._frozen:
                await self._frozen[name].wait()


class MemoryPeer:
    """The far end of a link in memory."""

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
        self.twin: MemoryPeer | None = None

    @property
    def greeting(self) -> messages.Greeting:
        """What the far end said of itself."""
        return self._far.greeting

    @property
    def is_open(self) -> bool:
        """Whether the link still carries messages."""
        return not self._closed.is_set()

    def send(self, record: messages.Record) -> None:
        """Send a record, once for each copy that the fault lets through."""
        if not self.is_open:
            return
        for extra in self._network.fault(*self._names, record):
            self._sender.send_nowait((record, extra))

    async def ask(
        self, question: questions.Question, timeout: float
    ) -> questions.Reply:
        """Ask a question; each way of the exchange can be lost."""
        source, target = self._names
        lost = errors.LinkLost(
            f"no reply from {target}", was_sent=self.is_open, culprit=target
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
        if self.twin is not None:
            self.twin.close()

    async def pump(self) -> None:
        """Carry this end's records to the far end's handler, in order."""
        source, target = self._names
        with contextlib.closing(self._receiver):
            async for record, extra in self._receiver:
                delay = self._network.delay + extra
                await self._network.travel(source, target, delay)
                if self.twin is not None and self.twin.is_open:
                    self._far.handler.on_record(self.twin, record)

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
        arrived = False
        for extra in self._network.fault(source, target, question):
            delay = self._network.delay + extra
            await self._network.travel(source, target, delay)
            # The far end works on even if the asker is gone by then.
            done = anyio.Event()
            box: list[questions.Reply] = []
            self._far.tasks.start_soon(self._serve, question, box, done)
            arrived = True
        if not arrived:
            await anyio.sleep_forever()
        await done.wait()
        for extra in self._network.fault(target, source, box[0]):
            delay = self._network.delay + extra
            await self._network.travel(target, source, delay)
            replies.append(box[0])
            tasks.cancel_scope.cancel()

    async def _serve(
        self,
        question: questions.Question,
        box: list[questions.Reply],
        done: anyio.Event,
    ) -> None:
        if self.twin is None or not self.twin.is_open:
            # It was under way when the link, or the process, ended.
            return
        try:
            box.append(
                await self._far.handler.on_question(self.twin, question)
            )
        except errors.CrowdeckError as error:
            box.append(questions.Refused.of(error))
        done.set()


class MemoryTransport:
    """One process's place on a memory network."""

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
        """Open a link to whoever is at ``address``."""
        await anyio.sleep(self._network.delay)
        far = self._network.find(self.greeting.instance, address)
        if far is None:
            raise errors.LinkLost(
                f"nobody at {address}", was_sent=False, culprit=""
            )
        near_peer = MemoryPeer(self._network, self, far)
        far_peer = MemoryPeer(self._network, far, self)
        near_peer.twin, far_peer.twin = far_peer, near_peer
        far.adopt(far_peer)
        self.adopt(near_peer)
        return near_peer

    def adopt(self, peer: MemoryPeer) -> None:
        """Take a new link and start carrying its records."""
        self._peers.append(peer)
        self.handler.on_opened(peer)
        self.tasks.start_soon(peer.pump)

    def forget(self, peer: MemoryPeer) -> None:
        """Drop a closed link and tell the handler."""
        if peer in self._peers:
            self._peers.remove(peer)
            self.handler.on_closed(peer)

    def close_all(self) -> None:
        """Close every link of this process."""
        for peer in list(self._peers):
            peer.close()

    def close_to(self, name: str) -> None:
        """Close the links to one other process."""
        for peer in list(self._peers):
            if peer.greeting.instance == name:
                peer.close()
