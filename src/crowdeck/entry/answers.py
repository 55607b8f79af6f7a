# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Delivers each arriving record to the inbox of its request."""

import collections

import anyio
import attrs

from crowdeck import errors
from crowdeck.membership import fleet as fleets
from crowdeck.observe import counters
from crowdeck import verdict as verdicts
from crowdeck.wire import link
from crowdeck.wire import messages
from crowdeck.wire import questions


@attrs.frozen
class HeadLost:
    """The link on which a request's answer arrived was lost."""

    instance: str


@attrs.frozen
class StageChanged:
    """A stage of the path in use is leaving or lost."""

    name: str
    state: fleets.State


Arrival = (
    messages.Answer
    | messages.AnswerEnd
    | messages.Failure
    | HeadLost
    | StageChanged
)


class Inbox:
    """The arrivals for one request that were not yet taken.

    The head sends no more than its window, so the inbox overflows only if
    the head breaks the protocol.

    :param limit: number of arrivals that the inbox holds at most.
    :ivar source: the link whose records are accepted.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._arrivals: collections.deque[Arrival] = collections.deque()
        self._wake = anyio.Event()
        self.source: link.Peer | None = None

    def put(self, arrival: Arrival) -> bool:
        """Add an arrival; return false if the inbox is full."""
        if len(self._arrivals) >= self._limit:
            return False
        self._arrivals.append(arrival)
        self._wake.set()
        return True

    async def get(self) -> Arrival:
        """Return the next arrival, waiting for it."""
        while not self._arrivals:
            self._wake = anyio.Event()
            await self._wake.wait()
        return self._arrivals.popleft()

    def clear(self) -> None:
        """Discard all arrivals, before another attempt begins."""
        self._arrivals.clear()


class AnswerInboxes:
    """The inboxes of one entry, filled with the records of its links."""

    def __init__(self) -> None:
        self._inboxes: dict[str, Inbox] = {}

    @property
    def open_count(self) -> int:
        """Requests that wait for records."""
        return len(self._inboxes)

    def open(self, request: str, limit: int) -> Inbox:
        """Create the inbox of a request that is about to be sent."""
        assert request not in self._inboxes, "one inbox per request"
        inbox = self._inboxes[request] = Inbox(limit)
        return inbox

    def is_open(self, request: str) -> bool:
        """Whether a request has an inbox."""
        return request in self._inboxes

    def close(self, request: str) -> None:
        """Drop a request's inbox; later records for it are dropped."""
        self._inboxes.pop(request, None)

    def on_opened(self, peer: link.Peer) -> None:
        """Do nothing: links are used only when a request is sent."""

    def on_record(self, peer: link.Peer, record: messages.Record) -> None:
        """Put a record into its request's inbox."""
        if not isinstance(
            record, messages.Answer | messages.AnswerEnd | messages.Failure
        ):
            counters.COUNTERS.add("entry.record_not_for_us")
            return
        inbox = self._inboxes.get(record.request)
        if inbox is None or inbox.source is not peer:
            # The record is late, or its head no longer answers the request.
            counters.COUNTERS.add("entry.record_late")
            if not isinstance(record, messages.Failure):
                peer.send(messages.Cancel(record.request, record.epoch))
            return
        if not inbox.put(record):
            counters.COUNTERS.add("entry.inbox_full")
            peer.close()

    async def on_question(
        self, peer: link.Peer, question: questions.Question
    ) -> questions.Reply:
        """Refuse the question, as entries answer none from sidecars."""
        raise errors.CrowdeckError(
            errors.Code.MALFORMED,
            f"an entry does not answer {type(question).__name__}",
            verdict=verdicts.Verdict.NOT_RUN,
        )

    def on_closed(self, peer: link.Peer) -> None:
        """Notify the requests whose answers arrived on a lost link."""
        lost = HeadLost(peer.greeting.instance)
        for inbox in tuple(self._inboxes.values()):
            if inbox.source is peer:
                inbox.put(lost)
