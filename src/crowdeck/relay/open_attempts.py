# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Attempts at one stream that are open at the same time."""

import contextlib
import typing

import anyio
import anyio.lowlevel
import attrs

from crowdeck import chain
from crowdeck import errors
from crowdeck.relay import live

AttemptListener = typing.Callable[["OpenAttempt"], None]


@attrs.define(eq=False)
class OpenAttempt:
    """One attempt at a stream, and how it ended.

    :ivar head: its first engine, which stays the same.
    :ivar scope: cancelled once another attempt delivers.
    :ivar error: why it ended without a complete answer.
    :ivar is_set_aside: whether another attempt is made beside it, until it
        delivers.
    """

    _attempts: "OpenAttempts"
    state: live.AttemptState
    head: chain.Upstream
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    error: errors.CrowdeckError | None = None
    is_complete: bool = False
    has_ended: bool = False
    is_set_aside: bool = False

    @property
    def is_current(self) -> bool:
        """Whether it is the attempt that is monitored."""
        return self._attempts.is_current(self)

    @property
    def is_latest_send(self) -> bool:
        """Whether no other attempt has been made since."""
        return not self.is_set_aside and self.is_current

    @property
    def is_one_of_many(self) -> bool:
        """Whether other attempts are open, or one more is sought."""
        return not self._attempts.is_sole(self)

    async def claim(self) -> None:
        """Wait for the right to deliver, and end the other attempts.

        Never returns if another attempt delivers already.
        """
        if not self._attempts.try_claim(self):
            await anyio.lowlevel.checkpoint_if_cancelled()
            raise AssertionError("an attempt that may not deliver goes on")

    @contextlib.contextmanager
    def writing(self) -> typing.Iterator[None]:
        """Mark the time in which it waits for its caller."""
        self.state.is_writing = True
        try:
            yield
        finally:
            self.state.is_writing = False


class OpenAttempts:
    """The open attempts at one stream, of which one delivers its events.

    A silent engine may go on, and the engine of another attempt may refuse
    it, break or be silent too. An abandoned attempt is therefore set aside:
    it is no longer monitored, and stays open until another one delivers.
    While one more is sought, none is monitored.

    :param on_resumed: called with an attempt that delivers after it was set
        aside.
    :param on_cancelled: called with an attempt that is ended here, as another
        one delivers or the stream is stopped; it may have run.
    """

    def __init__(
        self,
        stream: live.LiveStream,
        on_resumed: AttemptListener,
        on_cancelled: AttemptListener,
    ) -> None:
        self._stream = stream
        self._on_resumed = on_resumed
        self._on_cancelled = on_cancelled
        self._open: list[OpenAttempt] = []
        self._current: OpenAttempt | None = None
        self._search: anyio.CancelScope | None = None
        self._path_wait: anyio.CancelScope | None = None
        self._changed = anyio.Event()
        stream.subscribe(self._notify, self._stop)

    @property
    def count(self) -> int:
        """Number of open attempts."""
        return len(self._open)

    @property
    def kept_heads(self) -> frozenset[str]:
        """Names of the first engines that may go on with the stream.

        An engine that works, and not on an attempt without an event, may be
        sent the request again.
        """
        return frozenset(
            attempt.head.name
            for attempt in self._open
            if not (attempt.state.is_hung and attempt.state.is_starting)
        )

    def is_current(self, attempt: OpenAttempt) -> bool:
        """Whether an attempt is monitored; none is once it is set aside."""
        return self._stream.current_attempt is attempt.state

    def is_sole(self, attempt: OpenAttempt) -> bool:
        """Whether an attempt is the only one, and no other is sought."""
        return (
            self.is_current(attempt)
            and len(self._open) == 1
            and self._search is None
        )

    def begin(self, path: chain.ChainPath) -> OpenAttempt:
        """Add an attempt, which becomes the current one.

        Ends one that hangs at the same first engine.
        """
        assert path.head.name not in self.kept_heads, (
            "a first engine serves one attempt at a stream"
        )
        for attempt in tuple(self._open):
            if attempt.head.name == path.head.name:
                self._cancel(attempt)
                self._open.remove(attempt)
        state = self._stream.begin_attempt(path)
        attempt = OpenAttempt(self, state, path.head)
        self._open.append(attempt)
        self._current = attempt
        return attempt

    def end(self, attempt: OpenAttempt) -> None:
        """Note that an attempt has ended."""
        attempt.has_ended = True
        if attempt in self._open:
            self._open.remove(attempt)
        self._stream.end_attempt(attempt.state)
        self._notify()

    async def wait(self) -> OpenAttempt:
        """Wait until the current attempt ends or is abandoned; return it."""
        while True:
            current = self._current
            assert current is not None, "no attempt was made"
            if current.has_ended or self._stream.abandon_reason:
                return current
            self._changed = anyio.Event()
            await self._changed.wait()

    def set_aside(self, attempt: OpenAttempt) -> None:
        """Leave an abandoned attempt open while another one is made."""
        attempt.is_set_aside = True
        self._stream.send_tracker.note_abandoned()
        self._stream.make_current(None)

    def try_claim(self, attempt: OpenAttempt) -> bool:
        """Let an attempt deliver, unless another one delivers already.

        Ends the other attempts and the search for one more.
        """
        if attempt not in self._open:
            return False
        # An engine that sends is not silent.
        self._stream.abandon_reason = ""
        if not self.is_sole(attempt):
            self._end_others(attempt)
        if attempt.is_set_aside:
            attempt.is_set_aside = False
            self._on_resumed(attempt)
        return True

    def _end_others(self, attempt: OpenAttempt) -> None:
        """End all other attempts and the search for one more."""
        if self._current is not attempt:
            # Another attempt was sent since, and may still arrive.
            self._stream.send_tracker.note_abandoned()
        for other in self._open:
            if other is not attempt:
                self._cancel(other)
        self._open = [attempt]
        if self._search is not None:
            self._search.cancel()
        self._resume(attempt)

    def fall_back(self) -> bool:
        """Wait for an attempt that was set aside, the last one first.

        :returns: whether any is open.
        """
        if not self._open:
            return False
        self._resume(self._open[-1])
        return True

    def end_unstarted(self) -> None:
        """End the attempts that have had no event."""
        for attempt in tuple(self._open):
            if attempt.state.is_starting:
                self._cancel(attempt)
                self._open.remove(attempt)

    @contextlib.contextmanager
    def searching(self) -> typing.Iterator[None]:
        """Cancel the body once an attempt that was set aside delivers."""
        with anyio.CancelScope() as self._search:
            try:
                yield
            finally:
                self._search = None

    @contextlib.contextmanager
    def waiting_for_path(self) -> typing.Iterator[None]:
        """Cancel the body once the stream is stopped."""
        with anyio.CancelScope() as self._path_wait:
            try:
                yield
            finally:
                self._path_wait = None

    def _resume(self, attempt: OpenAttempt) -> None:
        self._current = attempt
        self._stream.make_current(attempt.state)
        self._notify()

    def _stop(self) -> None:
        if self._path_wait is not None:
            self._path_wait.cancel()
        for attempt in self._open:
            if attempt.state.is_starting:
                self._cancel(attempt)

    def _cancel(self, attempt: OpenAttempt) -> None:
        if not attempt.scope.cancel_called:
            attempt.scope.cancel()
            self._on_cancelled(attempt)

    def _notify(self) -> None:
        self._changed.set()
