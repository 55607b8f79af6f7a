# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A part of prompts that crashes each engine that begins to answer it.

Guards against requests that are all different, except for that part, and so
crash successive engines at any entry.
"""

import anyio
import pytest

from crowdeck import errors
from crowdeck.quarantine import attribution
from crowdeck.quarantine import fingerprint
from crowdeck.quarantine import tracker as trackers
from crowdeck.quarantine import trials
from crowdeck import verdict as verdicts
from tests import entries_system
from tests import prompt_parts_system as parts_system


class TestCrashingPart:
    """Requests with the part, and others of the same caller and route."""

    @pytest.mark.parametrize("count", [1, 3, 12])
    @pytest.mark.parametrize("position", [0, 1, 2])
    def test_is_not_sent_after_the_fifth_crash(
        self, position: int, count: int
    ) -> None:
        def check(entries: entries_system.Entries) -> None:
            late = parts_system.late_arrivals(entries)
            assert late <= parts_system.MAX_LATE_ARRIVALS

        traffic = parts_system.Traffic(bad_position=position)
        parts_system.play(traffic, check, count)

    @pytest.mark.parametrize("count", [1, 3, 12])
    @pytest.mark.parametrize("position", [0, 1, 2])
    def test_others_are_served_by_the_first_attempt(
        self, position: int, count: int
    ) -> None:
        def check(entries: entries_system.Entries) -> None:
            share = parts_system.first_share(entries)
            assert share >= parts_system.MIN_FIRST_SHARE

        traffic = parts_system.Traffic(bad_position=position)
        parts_system.play(traffic, check, count)

    @pytest.mark.parametrize(
        "traffic",
        [
            parts_system.Traffic(bad_seconds=0.05, sound_seconds=0.05),
            parts_system.Traffic(bad_seconds=3.0, seconds=60.0),
            parts_system.Traffic(bad_seconds=1.0, sound_seconds=0.5),
            parts_system.Traffic(part_counts=(1, 1, 1)),
            parts_system.Traffic(bad_from_seconds=8.0),
            parts_system.Traffic(bad_parts=("bad0", "bad1"), bad_seconds=0.2),
        ],
        ids=["dense", "seldom", "few-others", "no-variety", "later", "two"],
    )
    @pytest.mark.parametrize("count", [1, 3, 12])
    def test_is_recognised_in_other_traffic(
        self, count: int, traffic: parts_system.Traffic
    ) -> None:
        def check(entries: entries_system.Entries) -> None:
            for part in traffic.bad_parts:
                late = parts_system.late_arrivals(entries, part)
                assert late <= parts_system.MAX_LATE_ARRIVALS
            share = parts_system.first_share(entries)
            assert share >= parts_system.MIN_FIRST_SHARE

        parts_system.play(traffic, check, count)

    @pytest.mark.parametrize("count", [1, 3, 12])
    def test_is_recognised_although_it_was_served_before(
        self, count: int
    ) -> None:
        # As with a new release of the engines.
        async def work(entries: entries_system.Entries) -> None:
            traffic = parts_system.Traffic(seconds=8.0)
            callers = parts_system.Callers(entries, traffic)
            await callers.send()
            entries.fleet.crashing_parts.add(parts_system.BAD_PART)
            await callers.send()
            await callers.send()
            late = parts_system.late_arrivals(entries)
            assert late <= parts_system.MAX_LATE_ARRIVALS
            share = parts_system.first_share(entries)
            assert share >= parts_system.MIN_FIRST_SHARE

        entries_system.run_scenario(work, count=count)

    @pytest.mark.parametrize("count", [1, 3, 12])
    def test_is_recognised_while_engines_are_lost_for_other_reasons(
        self, count: int
    ) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_parts.add(parts_system.BAD_PART)
            traffic = parts_system.Traffic()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.lose_engines, entries)
                await parts_system.Callers(entries, traffic).send()
                tasks.cancel_scope.cancel()
            late = parts_system.late_arrivals(entries)
            assert late <= parts_system.MAX_LATE_ARRIVALS
            # Streams that lose their engine are served by a later attempt.
            outcomes = parts_system.sound_outcomes(entries, 0.0)
            assert [
                outcome for outcome in outcomes if not outcome.was_served
            ] == []

        entries_system.run_scenario(work, count=count)

    async def lose_engines(self, entries: entries_system.Entries) -> None:
        while True:
            await anyio.sleep(0.8)
            entries.crash_busiest(1)

    @pytest.mark.parametrize("count", [1, 12])
    def test_no_part_is_blamed_for_losses_without_a_cause(
        self, count: int
    ) -> None:
        async def work(entries: entries_system.Entries) -> None:
            traffic = parts_system.Traffic(bad_parts=())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.lose_engines, entries)
                await parts_system.Callers(entries, traffic).send()
                tasks.cancel_scope.cancel()
            codes = [
                outcome.caller.error.code
                for outcome in entries.outcomes
                if outcome.caller.error
            ]
            assert errors.Code.QUARANTINED not in codes

        entries_system.run_scenario(work, count=count)

    def test_is_refused_at_once_as_not_run(self) -> None:
        def check(entries: entries_system.Entries) -> None:
            since = (
                parts_system.crashed_at(entries, parts_system.COUNTED_CRASHES)
                + parts_system.CONTACT_SECONDS
            )
            refused = [
                outcome
                for outcome in entries.outcomes
                if outcome.request.body.startswith(b"bad")
                and outcome.sent_at > since
            ]
            assert len(refused) > 20
            for outcome in refused:
                assert outcome.seconds < 0.01
                error = outcome.caller.error
                assert error is not None
                assert error.code is errors.Code.QUARANTINED
                assert error.verdict is verdicts.Verdict.NOT_RUN
                assert error.retry_after
                assert error.retry_after <= trials.FIRST_TRIAL_SECONDS

        parts_system.play(parts_system.Traffic(), check)

    def test_is_served_again_once_it_crashes_no_more(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_parts.add(parts_system.BAD_PART)
            traffic = parts_system.Traffic(seconds=10.0)
            callers = parts_system.Callers(entries, traffic)
            await callers.send()
            entries.fleet.crashing_parts.clear()
            await anyio.sleep(trials.FIRST_TRIAL_SECONDS)
            await callers.send()
            last = [
                outcome
                for outcome in entries.outcomes
                if outcome.request.body.startswith(b"bad")
            ][-5:]
            assert all(outcome.was_served for outcome in last)

        entries_system.run_scenario(work)

    def test_trials_reach_few_engines(self) -> None:
        def check(entries: entries_system.Entries) -> None:
            late = parts_system.late_arrivals(entries)
            assert 1 <= late <= parts_system.MAX_LATE_ARRIVALS

        traffic = parts_system.Traffic(seconds=200.0, sound_seconds=0.5)
        parts_system.play(traffic, check, count=12)

    def test_restarted_entries_do_not_send_it(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_parts.add(parts_system.BAD_PART)
            callers = parts_system.Callers(
                entries, parts_system.Traffic(seconds=6.0)
            )
            await callers.send()
            crash_count = len(entries.fleet.crashes)
            for number in range(3):
                entries.restart(number)
            await anyio.sleep(0.5)
            await callers.send()
            assert len(entries.fleet.crashes) == crash_count

        entries_system.run_scenario(work)

    def test_waiting_attempts_are_cancelled(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            callers = parts_system.Callers(entries, parts_system.Traffic())
            for upstream in entries.fleet.upstreams:
                upstream.hanging_streams = 1
            callers.send_bad()
            await anyio.sleep(0.05)
            quarantine = entries[0].context.quarantine
            part = fingerprint.of_part(
                parts_system.MODEL.decode(), parts_system.BAD_PART
            )
            for number in range(attribution.QUARANTINE_THRESHOLD):
                request = fingerprint.parse_content(f"{number} {part}")
                quarantine.note_connection_lost(
                    f"gone-{number}", trackers.AttemptRecord(request, None)
                )
                quarantine.note_end(f"gone-{number}")
            await anyio.sleep(trackers.SETTLE_SECONDS + 0.05)
            error = entries.outcomes[0].caller.error
            assert error is not None
            assert error.code is errors.Code.QUARANTINED

        entries_system.run_scenario(work, count=1)

    def test_call_with_it_is_refused_too(self) -> None:
        # Calls of plain services may have prompts as well.
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_parts.add(parts_system.BAD_PART)
            for number in range(20):
                entries.start_request(
                    number,
                    entries_system.REPEATABLE,
                    b"bad-%d" % number,
                    model="m",
                    prompt_parts=(parts_system.BAD_PART, f"own{number}"),
                )
                await anyio.sleep(0.8)
            last = entries.outcomes[-1].caller.error
            assert last is not None
            assert last.code is errors.Code.QUARANTINED
            assert last.verdict is verdicts.Verdict.NOT_RUN
            assert len(entries.fleet.crashes) <= parts_system.COUNTED_CRASHES

        entries_system.run_scenario(work)

    def test_prompts_without_it_are_all_served(self) -> None:
        def check(entries: entries_system.Entries) -> None:
            assert entries.fleet.crashes == []
            assert parts_system.first_share(entries) == 1.0

        parts_system.play(parts_system.Traffic(bad_parts=()), check)
