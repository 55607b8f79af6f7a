# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Interfaces of the links between two processes.

``crowdeck.wire.rpc`` implements them over TCP; ``crowdeck.standin.network``
in memory, with scripted faults, for tests in virtual time.
"""

import typing

from crowdeck import instance as instances
from crowdeck.wire import messages
from crowdeck.wire import questions


class Peer(typing.Protocol):
    """The remote end of a link."""

    @property
    def greeting(self) -> messages.Greeting:
        """The greeting of the remote end."""
        ...

    @property
    def is_open(self) -> bool:
        """Whether the link still carries messages."""
        ...

    def send(self, record: messages.Record) -> None:
        """Queue a record; a full queue closes the link.

        Records arrive in order until the link is lost. Delivery is not
        acknowledged; a protocol that needs to know the outcome sends
        its own acknowledgement.
        """
        ...

    async def ask(
        self, question: questions.Question, timeout: float
    ) -> questions.Reply:
        """Send a question and wait for its reply.

        :param timeout: time to wait, in seconds.
        :raises LinkLost: if there was no reply; its ``was_sent`` states
            whether the question may have arrived.
        """
        ...

    async def wait_closed(self) -> None:
        """Return once the link is closed."""
        ...

    def close(self) -> None:
        """Close the link; idempotent."""
        ...


class Handler(typing.Protocol):
    """Callbacks of a process for its links."""

    def on_opened(self, peer: Peer) -> None:
        """Handle a new link, before any message arrives on it."""
        ...

    def on_record(self, peer: Peer, record: messages.Record) -> None:
        """Handle a record; must not block."""
        ...

    async def on_question(
        self, peer: Peer, question: questions.Question
    ) -> questions.Reply:
        """Return the reply to a question."""
        ...

    def on_closed(self, peer: Peer) -> None:
        """Handle the end of a link."""
        ...


class Transport(typing.Protocol):
    """Opens links to other processes."""

    async def dial(self, address: instances.Address) -> Peer:
        """Open a link.

        :raises LinkLost: with ``was_sent`` false if the connection failed.
        """
        ...
