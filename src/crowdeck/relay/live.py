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
class AttemptState:
    """State of one attempt at a stream.

    :ivar path: the path in use.
    :ivar progress_at: when its last event arrived or it began.
    :ivar first_event_at: when its first event arrived.
    :ivar is_established: whether it is known not to crash its engine.
    :ivar is_writing: whether it waits for its caller to take an event.
    :ivar is_hung: whether its first engine works, but not on this attempt.
    """

    path: chain.ChainPath
    progress_at: float
    first_event_at: float | None = None
    is_established: bool = False
    is_writing: bool = False
    is_hung: bool = False

    @property
    def is_starting(self) -> bool:
        """Whether it has had no event yet."""
        return self.first_event_at is None

    @property
    def seconds_since_first_event(self) -> float | None:
        """Seconds since its first event, ``None`` before that."""
        if self.first_event_at is None:
            return None
        return anyio.current_time() - self.first_event_at

    def becomes_established(self) -> bool:
        """Whether an event shows that the request does not crash its engine.

        True once for each attempt.
        """
        seconds = self.seconds_since_first_event
        if (
            self.is_established
            or seconds is None
            or seconds < trackers.MAX_SUSPECT_EVENT_AGE_SECONDS
        ):
            return False
        self.is_established = True
        return True


GiveUpListener = typing.Callable[[], None]


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
    :ivar has_events: whether an event was forwarded in any attempt; a comment
        is none.
    :ivar may_have_run: whether an engine may have run it in an earlier
        attempt, here or before its caller resumed it.
    :ivar next_check_at: earliest time of its next check for a stall.
    :ivar check_count: number of checks since its last event.
    :ivar needs_check: whether to check it now though it is not silent.
    :ivar mean_pause_seconds: moving average of the pauses between its events,
        without the time before the attempt of the later event.
    :ivar pause_count: number of pauses in that average.
    :ivar longest_pause: longest such pause, in seconds.
    :ivar first_event_at: when its first event arrived.
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
    next_check_at: float = 0.0
    check_count: int = 0
    needs_check: bool = False
    mean_pause_seconds: float = 0.0
    pause_count: int = 0
    longest_pause: float = 0.0
    first_event_at: float | None = None
    abandon_reason: str = ""
    team: str = ""
    urgency: routes.Urgency = routes.Urgency()
    _content: fingerprint.RequestContent | None = None
    _current: AttemptState | None = None
    _on_abandoned: GiveUpListener = lambda: None
    _on_stopped: GiveUpListener = lambda: None

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
    def current_attempt(self) -> AttemptState | None:
        """The attempt that is monitored, if any."""
        return self._current

    @property
    def path(self) -> chain.ChainPath | None:
        """The path in use, or ``None`` while there is no current attempt."""
        return self._current.path if self._current else None

    @property
    def is_starting(self) -> bool:
        """Whether the current attempt has had no event yet."""
        return self._current is None or self._current.is_starting

    @property
    def progress_at(self) -> float:
        """When its last event arrived or its attempt began."""
        return self._current.progress_at if self._current else 0.0

    @property
    def waits_for_caller(self) -> bool:
        """Whether its caller, not its engine, holds it up."""
        return self._current is not None and self._current.is_writing

    def record_of(self, state: AttemptState) -> trackers.AttemptRecord:
        """Return the request, and the time since an attempt's first event."""
        return trackers.AttemptRecord(
            self.content, state.seconds_since_first_event
        )

    def subscribe(
        self, on_abandoned: GiveUpListener, on_stopped: GiveUpListener
    ) -> None:
        """Set what is called when it is abandoned, and when it is stopped."""
        self._on_abandoned = on_abandoned
        self._on_stopped = on_stopped

    def begin_attempt(self, path: chain.ChainPath) -> AttemptState:
        """Begin an attempt, which becomes the current one."""
        state = AttemptState(path, anyio.current_time())
        self.make_current(state)
        self.next_check_at = 0.0
        return state

    def make_current(self, state: AttemptState | None) -> None:
        """Let an attempt be the one that is monitored, or none.

        Its load alone counts: while engines are full, another attempt needs
        the capacity that one through a lost engine no longer uses.
        """
        if self._current is not None:
            self._usage.remove_request(self._current.path, self.tokens)
        if state is not None:
            self._usage.add_request(state.path, self.tokens)
        self._current = state
        self.abandon_reason = ""

    def switch_path(self, path: chain.ChainPath) -> None:
        """Continue the current attempt on another path."""
        assert self._current is not None, "no attempt has a path to replace"
        self._usage.remove_request(self._current.path, self.tokens)
        self._current.path = path
        self._usage.add_request(path, self.tokens)

    def end_attempt(self, state: AttemptState) -> None:
        """End an attempt; no other becomes the current one."""
        if self._current is state:
            self.make_current(None)

    def abandon(self, reason: str) -> None:
        """Request another attempt beside the current one.

        The current one ends once another delivers an event. Does nothing if
        it was already abandoned, or waits for its caller and not its engine.
        """
        current = self._current
        if current is None or self.waits_for_caller or self.abandon_reason:
            return
        self.abandon_reason = reason
        self._on_abandoned()

    def stop(self, reason: str) -> None:
        """End all attempts without an event, and the wait for a path."""
        self.abandon_reason = self.abandon_reason or reason
        self._on_stopped()

    def note_event(self) -> None:
        """Note that an event of the current attempt arrived."""
        current = self._current
        assert current is not None, "an event belongs to an attempt"
        now = anyio.current_time()
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            pause = now - current.progress_at
            self.mean_pause_seconds += EWMA_WEIGHT * (
                pause - self.mean_pause_seconds
            )
            self.pause_count += 1
            self.longest_pause = max(self.longest_pause, pause)
        if current.first_event_at is None:
            current.first_event_at = now
        current.progress_at = now
        self.next_check_at = 0.0
        self.check_count = 0
