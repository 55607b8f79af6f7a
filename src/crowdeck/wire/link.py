# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Links between two processes, whatever carries them.

``crowdeck.wire.rpc`` carries them over TCP; ``crowdeck.standin.network``
carries them in memory, with scripted faults, for tests in virtual time.
"""

import typing

from crowdeck import instance as instances
from crowdeck.wire import messages
from crowdeck.wire import questions


class Peer(typing.Protocol):
    """The far end of one open link."""

    @property
    def greeting(self) -> messages.Greeting:
        """What the far end said of itself."""
        ...

    @property
    def is_open(self) -> bool:
        """Whether the link still carries messages."""
        ...

    def send(self, record: messages.Record) -> None:
        """Queue a record; a full queue closes the link.

        Records arrive in order or, once the link is lost, not at all;
        nothing tells the sender which, so a record that matters has its
        outcome reported by the protocol above.
        """
        ...

    async def ask(
        self, question: questions.Question, timeout: float
    ) -> questions.Reply:
        """Ask a question and wait for its reply.

        :param timeout: seconds to wait.
        :raises LinkLost: when no reply came; it says whether the
            question may have arrived.
        """
        ...

    async def wait_closed(self) -> None:
        """Return once the link is closed."""
        ...

    def close(self) -> None:
        """Close the link; closing twice is harmless."""
        ...


class Handler(typing.Protocol):
    """What a process does with its links."""

    def on_opened(self, peer: Peer) -> None:
        """Take note of a new link, before anything arrives on it."""
        ...

    def on_record(self, peer: Peer, record: messages.Record) -> None:
        """Take one record; must not block."""
        ...

    async def on_question(
        self, peer: Peer, question: questions.Question
    ) -> questions.Reply:
        """Answer one question."""
        ...

    def on_closed(self, peer: Peer) -> None:
        """Take note that a link is gone."""
        ...


class Transport(typing.Protocol):
    """Opens links to other processes."""

    async def dial(self, address: instances.Address) -> Peer:
        """Open a link.

        :raises LinkLost: with ``was_sent`` false when none could be had.
        """
        ...
