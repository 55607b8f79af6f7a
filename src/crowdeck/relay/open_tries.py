# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tries of one call that are open at the same time."""

import anyio
import attrs

from crowdeck import chain
from crowdeck import errors
from crowdeck import http
from crowdeck import verdict as verdicts


@attrs.frozen
class CallAnswer:
    """A complete answer of an instance."""

    status: int
    headers: http.RawHeaders
    body: bytes

    @property
    def has_failed(self) -> bool:
        """Whether it says that the instance failed."""
        return self.status >= 500


@attrs.define(eq=False)
class OpenTry:
    """One try of a call at an instance, and how it ended.

    :ivar began_at: event loop time in seconds.
    :ivar answer: its complete answer.
    :ivar error: why it ended without one.
    :ivar is_late: whether another try was sought because this one is silent.
    """

    upstream: chain.Upstream
    began_at: float
    answer: CallAnswer | None = None
    error: errors.CrowdeckError | None = None
    is_late: bool = False

    @property
    def is_served(self) -> bool:
        """Whether its answer can be passed on at once."""
        return self.answer is not None and not self.answer.has_failed

    @property
    def verdict(self) -> verdicts.Verdict:
        """Whether the call may have run, once the try has ended."""
        if self.answer is not None:
            return verdicts.Verdict.RAN
        assert self.error is not None, "the try has not ended"
        return self.error.verdict


class OpenTries:
    """The tries of one call, of which the first that is served counts.

    A silent instance may go on, and the instance of another try may refuse
    it, fail or be silent too. A try therefore stays open until another one is
    served, and its own failure ends no other.
    """

    def __init__(self) -> None:
        self._open: list[OpenTry] = []
        self._ended: list[OpenTry] = []
        self._latest: OpenTry | None = None
        self._changed = anyio.Event()

    @property
    def are_open(self) -> bool:
        """Whether any try may still be served."""
        return bool(self._open or self._ended)

    @property
    def latest_began_at(self) -> float:
        """When the latest of the open tries began."""
        return max(each.began_at for each in (*self._open, *self._ended))

    def begin(self, upstream: chain.Upstream) -> OpenTry:
        """Add a try at an instance."""
        self._latest = OpenTry(upstream, anyio.current_time())
        self._open.append(self._latest)
        return self._latest

    def is_latest(self, open_try: OpenTry) -> bool:
        """Whether no other try has begun since."""
        return self._latest is open_try

    def end(self, open_try: OpenTry) -> None:
        """Note that a try has ended with its answer or error."""
        self._open.remove(open_try)
        self._ended.append(open_try)
        self._changed.set()

    def take_silent(self) -> list[OpenTry]:
        """Mark the open tries as late; return those that were not before."""
        silent = [
            each
            for each in self._open
            if not each.is_late and each.error is None
        ]
        for each in silent:
            each.is_late = True
        return silent

    async def wait(self, until: float) -> OpenTry | None:
        """Return the next try that ended, ``None`` if none has in time.

        Of those that ended together, one that is served comes first.
        """
        with anyio.CancelScope(deadline=until):
            while not self._ended:
                self._changed = anyio.Event()
                await self._changed.wait()
        if not self._ended:
            return None
        ended = next(
            (each for each in self._ended if each.is_served), self._ended[0]
        )
        self._ended.remove(ended)
        return ended
