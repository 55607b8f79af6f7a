# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Which of the open attempts at a stream delivers, without a network."""

import typing

import anyio

from crowdeck import chain
from crowdeck import pipeline
from crowdeck.relay import live
from crowdeck.relay import open_attempts
from crowdeck import route as routes
from crowdeck.routing import budget as budgets
from crowdeck.routing import usage as usages
from tests import fleet_system
from tests import virtual

STREAM = routes.RepeatPolicy.STREAM


def path_through(name: str) -> chain.ChainPath:
    """Return a path whose only engine has this name."""
    upstream = fleet_system.upstream(name, layers=(0, 80))
    return chain.ChainPath((chain.Hop(upstream, pipeline.LayerRange(0, 80)),))


class Play:
    """One stream and the attempts at it.

    :ivar resumed: first engines that delivered after they were set aside.
    :ivar cancelled: first engines whose attempts were ended for another.
    """

    def __init__(self) -> None:
        system = fleet_system.FleetSystem()
        self.usage = usages.InFlight()
        self.budget = budgets.SharedRetryBudget(0.2, 10.0, 10.0)
        self.stream = live.LiveStream(
            request=system.request(STREAM),
            service=routes.Service("assistant", 100, fleet_system.PROFILE),
            profile=fleet_system.PROFILE,
            max_pause_seconds=0.2,
            objective_seconds=0.5,
            tokens=700.0,
            usage=self.usage,
            send_tracker=self.budget.track_sends(),
        )
        self.resumed: list[str] = []
        self.cancelled: list[str] = []
        self.attempts = open_attempts.OpenAttempts(
            self.stream,
            lambda attempt: self.resumed.append(attempt.head.name),
            lambda attempt: self.cancelled.append(attempt.head.name),
        )

    def begin(self, name: str) -> open_attempts.OpenAttempt:
        """Begin an attempt at an engine."""
        return self.attempts.begin(path_through(name))

    def deliver(self, attempt: open_attempts.OpenAttempt) -> bool:
        """Deliver an event of an attempt; return whether it may."""
        may_deliver = self.attempts.try_claim(attempt)
        if may_deliver:
            self.stream.note_event()
        return may_deliver

    def replace(
        self, attempt: open_attempts.OpenAttempt, name: str
    ) -> open_attempts.OpenAttempt:
        """Set an attempt aside, and begin one at another engine."""
        self.stream.abandon("its engine is silent")
        self.attempts.set_aside(attempt)
        return self.begin(name)


def played(
    work: typing.Callable[[typing.Any, Play], typing.Awaitable[None]],
) -> typing.Callable[[typing.Any], None]:
    """Return a test that plays ``work`` in virtual time."""

    async def body(test: typing.Any) -> None:
        await work(test, Play())

    return lambda test: virtual.run(body, test)


class TestOpenAttempts:
    """Only one attempt delivers, and none ends before another does."""

    @played
    async def test_attempt_set_aside_stays_open(self, play: Play) -> None:
        first = play.begin("a")
        play.deliver(first)
        second = play.replace(first, "b")
        assert play.attempts.count == 2
        assert not first.scope.cancel_called
        assert not second.scope.cancel_called

    @played
    async def test_engine_that_goes_on_ends_the_other_attempt(
        self, play: Play
    ) -> None:
        first = play.begin("a")
        play.deliver(first)
        second = play.replace(first, "b")
        assert play.deliver(first)
        assert second.scope.cancel_called
        assert not play.deliver(second)
        assert play.resumed == ["a"]
        assert play.cancelled == ["b"]
        assert play.stream.path is not None
        assert play.stream.path.head.name == "a"

    @played
    async def test_other_attempt_that_delivers_ends_the_first(
        self, play: Play
    ) -> None:
        first = play.begin("a")
        play.deliver(first)
        second = play.replace(first, "b")
        assert play.deliver(second)
        assert first.scope.cancel_called
        assert not play.deliver(first)
        assert play.resumed == []

    @played
    async def test_engine_that_goes_on_ends_the_search(
        self, play: Play
    ) -> None:
        first = play.begin("a")
        play.deliver(first)
        play.stream.abandon("its engine is silent")
        play.attempts.set_aside(first)
        with play.attempts.searching():
            play.deliver(first)
            await anyio.sleep(1.0)
            raise AssertionError("the search goes on")
        assert play.stream.path is not None

    @played
    async def test_last_attempt_is_waited_for_if_no_other_can_be_made(
        self, play: Play
    ) -> None:
        first = play.begin("a")
        play.deliver(first)
        second = play.replace(first, "b")
        play.attempts.end(second)
        assert play.attempts.fall_back()
        assert play.stream.path is not None
        assert play.stream.path.head.name == "a"
        play.attempts.end(first)
        assert not play.attempts.fall_back()

    @played
    async def test_attempt_that_waits_for_its_caller_is_not_abandoned(
        self, play: Play
    ) -> None:
        first = play.begin("a")
        with first.writing():
            play.stream.abandon("its engine is silent")
        assert not play.stream.abandon_reason

    @played
    async def test_event_in_the_pass_of_an_abandonment_outdates_it(
        self, play: Play
    ) -> None:
        first = play.begin("a")
        play.stream.abandon("its engine is silent")
        play.deliver(first)
        with anyio.move_on_after(1.0) as scope:
            await play.attempts.wait()
        assert scope.cancelled_caught

    @played
    async def test_engine_that_was_waited_for_resumes(
        self, play: Play
    ) -> None:
        first = play.begin("a")
        play.deliver(first)
        second = play.replace(first, "b")
        play.attempts.end(second)
        play.attempts.fall_back()
        play.deliver(first)
        assert play.resumed == ["a"]

    @played
    async def test_only_the_current_attempt_uses_capacity(
        self, play: Play
    ) -> None:
        first = play.begin("a")
        second = play.replace(first, "b")
        loads = [
            play.usage.own_requests(attempt.head)
            for attempt in (first, second)
        ]
        assert loads == [0, 1]
        play.deliver(first)
        play.attempts.end(second)
        play.attempts.end(first)
        assert play.usage.own_requests(first.head) == 0
        assert play.usage.own_requests(second.head) == 0

    @played
    async def test_each_send_counts_in_the_retry_budget(
        self, play: Play
    ) -> None:
        tracker = play.stream.send_tracker
        before = play.budget.remaining
        first = play.begin("a")
        tracker.note_sent()
        tracker.note_arrived()
        play.deliver(first)
        for number in range(3):
            play.stream.abandon("its engine is silent")
            play.attempts.set_aside(first)
            assert tracker.reserve()
            second = play.begin(f"b{number}")
            tracker.note_sent()
            play.deliver(first)
            play.attempts.end(second)
        assert play.budget.remaining == before - 3.0

    @played
    async def test_attempts_without_an_event_end_when_stopped(
        self, play: Play
    ) -> None:
        first = play.begin("a")
        play.deliver(first)
        second = play.replace(first, "b")
        play.stream.stop("the request is quarantined")
        assert second.scope.cancel_called
        assert not first.scope.cancel_called
