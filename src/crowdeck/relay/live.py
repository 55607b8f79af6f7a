# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Streams in progress, as the watch over them sees them."""

import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck.quarantine import fingerprint
from crowdeck.quarantine import tracker as trackers
from crowdeck.relay import request as requests
from crowdeck import route as routes
from crowdeck.routing import budget as budgets
from crowdeck.routing import usage as usages

# Weight of the newest pause in a stream's mean.
NEWEST_WEIGHT = 0.1


@attrs.define(eq=False)
class LiveStream:
    """One stream in progress.

    :ivar profile: of the engines that serve it.
    :ivar tokens: what the request is expected to hold while it runs.
    :ivar sends: the account of its sends that the retry budget keeps.
    :ivar resumes: tells whether it may go on at another first engine.
    :ivar last_event: id of the last event passed on, -1 for none.
    :ivar moved_at: the loop's time when it last moved: an event came,
        or an attempt began.
    :ivar next_look: not looked at before this time.
    :ivar looks: how often it was looked into since it last moved.
    :ivar is_suspect: whether it is to be looked into though not silent.
    :ivar usual_pause: mean pause between its events, in seconds.
    :ivar longest_pause: the longest of them.
    :ivar first_event_at: the loop's time of its first event.
    :ivar begins: whether the attempt under way has brought no event yet.
    :ivar team: on whose behalf it was asked for.
    """

    request: requests.CallerRequest
    service: routes.Service
    profile: chain.EngineProfile
    max_pause: float
    objective: float
    tokens: float
    _usage: usages.InFlight
    sends: budgets.SendTracker
    can_resume: typing.Callable[[], bool] = lambda: False
    last_event: int = -1
    has_events: bool = False
    progress_at: float = 0.0
    next_check: float = 0.0
    checks: int = 0
    needs_check: bool = False
    usual_pause: float = 0.0
    longest_pause: float = 0.0
    first_event_at: float | None = None
    is_starting: bool = True
    abandon_reason: str = ""
    team: str = ""
    _attempt_event_at: float | None = None
    _fingerprint: fingerprint.Fingerprint | None = None
    _path: chain.ChainPath | None = None
    _scope: anyio.CancelScope | None = None

    @property
    def may_resume(self) -> bool:
        """Whether it may go on elsewhere if this attempt is given up now.

        Asked anew each time: an engine that it ran on may have ended
        meanwhile, which leaves it one run more.
        """
        return self.can_resume()

    @property
    def fingerprint(self) -> fingerprint.Fingerprint:
        """By what the request is known when it comes again.

        Found only when asked for: on a day without losses nobody does.
        """
        if self._fingerprint is None:
            self._fingerprint = requests.fingerprint_of(
                self.request, self.team
            )
        return self._fingerprint

    @property
    def attempt_record(self) -> trackers.AttemptRecord:
        """What came of the attempt under way, or of the last one."""
        seconds = None
        if self._attempt_event_at is not None:
            seconds = anyio.current_time() - self._attempt_event_at
        return trackers.AttemptRecord(self.fingerprint, seconds)

    @property
    def path(self) -> chain.ChainPath | None:
        """The path in use, or ``None`` between attempts."""
        return self._path

    def wait(self, scope: anyio.CancelScope) -> None:
        """Wait for a path; ``scope`` is cancelled to abandon that."""
        self._scope = scope

    def begin(self, path: chain.ChainPath, scope: anyio.CancelScope) -> None:
        """Begin an attempt; ``scope`` is cancelled to abandon it."""
        self._scope = scope
        self.abandon_reason = ""
        self.progress_at = anyio.current_time()
        self.next_check = 0.0
        self.is_starting = True
        self._attempt_event_at = None
        self.switch_path(path)

    def switch_path(self, path: chain.ChainPath) -> None:
        """Go on along another path."""
        self._leave_path()
        self._path = path
        self._usage.add_request(path, self.tokens)

    def end(self) -> None:
        """End the attempt."""
        self._scope = None
        self._leave_path()

    def abandon(self, reason: str) -> None:
        """Give up the attempt; the stream then goes on elsewhere."""
        if self._scope is not None and not self.abandon_reason:
            self.abandon_reason = reason
            self._scope.cancel()

    def note_event(self) -> None:
        """Note that an event came."""
        now = anyio.current_time()
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            pause = now - self.progress_at
            self.usual_pause += NEWEST_WEIGHT * (pause - self.usual_pause)
            self.longest_pause = max(self.longest_pause, pause)
        if self.is_starting:
            self._attempt_event_at = now
        self.is_starting = False
        self.progress_at = now
        self.next_check = 0.0
        self.checks = 0

    def _leave_path(self) -> None:
        if self._path is not None:
            self._usage.remove_request(self._path, self.tokens)
            self._path = None
