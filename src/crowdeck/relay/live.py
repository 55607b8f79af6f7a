# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""State of streams in progress."""

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

# Weight of the newest pause in a stream's mean pause.
EWMA_WEIGHT = 0.1


@attrs.define(eq=False)
class LiveStream:
    """One stream in progress.

    Points in time are loop times.

    :ivar profile: profile of the engines that serve it.
    :ivar max_pause_seconds: maximum allowed pause between events.
    :ivar objective_seconds: latency objective for the first event.
    :ivar tokens: mean number of tokens that the request holds while it runs.
    :ivar send_tracker: counts its sends in the retry budget.
    :ivar check_may_resume: returns whether it may resume at another first
        engine.
    :ivar last_event_id: id of the last event forwarded, -1 for none.
    :ivar has_events: whether an event was forwarded in any attempt.
    :ivar may_have_run: whether an engine may have run it in an earlier
        attempt, here or before its caller resumed it.
    :ivar progress_at: when its last event arrived or its attempt began.
    :ivar next_check_at: earliest time of its next check for a stall.
    :ivar check_count: number of checks since its last event.
    :ivar needs_check: whether to check it now though it is not silent.
    :ivar mean_pause_seconds: moving average of the pauses between its events,
        without the time before the attempt of the later event.
    :ivar pause_count: number of pauses in that average.
    :ivar longest_pause: longest such pause, in seconds.
    :ivar first_event_at: when its first event arrived.
    :ivar is_starting: whether the current attempt has had no event yet.
    :ivar abandon_reason: why the current attempt was abandoned, or empty.
    :ivar team: the team that sent the request.
    :ivar urgency: its urgency beside other streams of the service.
    """

    request: requests.CallerRequest
    service: routes.Service
    profile: chain.EngineProfile
    max_pause_seconds: float
    objective_seconds: float
    tokens: float
    _usage: usages.InFlight
    send_tracker: budgets.SendTracker
    check_may_resume: typing.Callable[[], bool] = lambda: False
    last_event_id: int = -1
    has_events: bool = False
    may_have_run: bool = False
    progress_at: float = 0.0
    next_check_at: float = 0.0
    check_count: int = 0
    needs_check: bool = False
    mean_pause_seconds: float = 0.0
    pause_count: int = 0
    longest_pause: float = 0.0
    first_event_at: float | None = None
    is_starting: bool = True
    abandon_reason: str = ""
    team: str = ""
    urgency: routes.Urgency = routes.Urgency()
    _attempt_first_event_at: float | None = None
    _content: fingerprint.RequestContent | None = None
    _is_established: bool = False
    _path: chain.ChainPath | None = None
    _scope: anyio.CancelScope | None = None

    @property
    def may_resume(self) -> bool:
        """Whether it may resume elsewhere if it is abandoned now.

        Not cached: when an engine that it ran on ends, another attempt
        becomes available.
        """
        return self.check_may_resume()

    @property
    def usual_pause_seconds(self) -> float:
        """The mean pause, without the start of its average at 0.

        It is 0 before the second event.
        """
        if not self.pause_count:
            return 0.0
        weight = 1.0 - (1.0 - EWMA_WEIGHT) ** self.pause_count
        return self.mean_pause_seconds / weight

    @property
    def content(self) -> fingerprint.RequestContent:
        """Content of the request, computed when first needed."""
        if self._content is None:
            self._content = requests.content_of(self.request, self.team)
        return self._content

    @property
    def attempt_record(self) -> trackers.AttemptRecord:
        """The request, and the time since its attempt's first event."""
        return trackers.AttemptRecord(
            self.content, self._seconds_since_first_event
        )

    @property
    def _seconds_since_first_event(self) -> float | None:
        if self._attempt_first_event_at is None:
            return None
        return anyio.current_time() - self._attempt_first_event_at

    @property
    def path(self) -> chain.ChainPath | None:
        """The path in use, or ``None`` between attempts."""
        return self._path

    def note_waiting(self, scope: anyio.CancelScope) -> None:
        """Note that it waits for a path; :meth:`abandon` cancels ``scope``."""
        self._scope = scope

    def begin_attempt(
        self, path: chain.ChainPath, scope: anyio.CancelScope
    ) -> None:
        """Begin an attempt; :meth:`abandon` cancels ``scope``."""
        self._scope = scope
        self.abandon_reason = ""
        self.progress_at = anyio.current_time()
        self.next_check_at = 0.0
        self.is_starting = True
        self._attempt_first_event_at = None
        self._is_established = False
        self.switch_path(path)

    def switch_path(self, path: chain.ChainPath) -> None:
        """Continue on another path."""
        self._release_path()
        self._path = path
        self._usage.add_request(path, self.tokens)

    def end_attempt(self) -> None:
        """End the attempt, and stop counting its load on the path."""
        self._scope = None
        self._release_path()

    def abandon(self, reason: str) -> None:
        """Cancel the current attempt or wait for a path.

        Does nothing if the stream was already abandoned.
        """
        if self._scope is not None and not self.abandon_reason:
            self.abandon_reason = reason
            self._scope.cancel()

    def note_event(self) -> None:
        """Note that an event arrived."""
        now = anyio.current_time()
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            pause = now - self.progress_at
            self.mean_pause_seconds += EWMA_WEIGHT * (
                pause - self.mean_pause_seconds
            )
            self.pause_count += 1
            self.longest_pause = max(self.longest_pause, pause)
        if self.is_starting:
            self._attempt_first_event_at = now
        self.is_starting = False
        self.progress_at = now
        self.next_check_at = 0.0
        self.check_count = 0

    def becomes_established(self) -> bool:
        """Whether an event shows that the request does not crash its engine.

        True once for each attempt.
        """
        seconds = self._seconds_since_first_event
        if (
            self._is_established
            or seconds is None
            or seconds < trackers.MAX_SUSPECT_EVENT_AGE_SECONDS
        ):
            return False
        self._is_established = True
        return True

    def _release_path(self) -> None:
        if self._path is not None:
            self._usage.remove_request(self._path, self.tokens)
            self._path = None
