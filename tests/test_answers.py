# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Answers of models are complete and correct, whichever part fails."""

import typing

import anyio
import attrs
import pytest

from crowdeck.entry import driver
from crowdeck.entry import model_request as model_requests
from crowdeck import errors
from crowdeck.sidecar import attempt as attempts
from crowdeck.sidecar import stage as stages
from crowdeck.wire import messages
from tests import system as systems
from tests import virtual

PROMPT = "why did the recharge fail"


class TestUndisturbed:
    """Answers without any fault."""

    def test_answer_equals_that_of_the_whole_model(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                caller = systems.Caller()
                finish = await system.answer(PROMPT, caller)
                assert caller.texts == system.expected(PROMPT, 20)
                assert finish == "length"

        virtual.run(check)

    def test_concurrent_answers_do_not_mix(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                callers = {
                    f"question {n} of desk {n % 7}": systems.Caller()
                    for n in range(40)
                }
                async with anyio.create_task_group() as tasks:
                    for n, (prompt, caller) in enumerate(callers.items()):
                        tasks.start_soon(
                            system.answer, prompt, caller, 20, n % 2
                        )
                for prompt, caller in callers.items():
                    assert caller.texts == system.expected(prompt, 20)

        virtual.run(check)

    def test_single_stage_serves_complete_answers(self) -> None:
        async def check() -> None:
            async with systems.System(stages=1, replicas=1) as system:
                caller = systems.Caller()
                await system.answer(PROMPT, caller)
                assert caller.texts == system.expected(PROMPT, 20)

        virtual.run(check)

    def test_each_context_runs_once_on_each_stage(self) -> None:
        async def check() -> None:
            async with systems.System(replicas=1) as system:
                await system.answer(PROMPT, systems.Caller())
                for engine in system.engines.values():
                    assert engine.runs
                    assert set(engine.runs.values()) == {1}

        virtual.run(check)


class TestCrashes:
    """Processes die in the middle of an answer."""

    @pytest.mark.parametrize("stage", [0, 1, 2])
    @pytest.mark.parametrize("position", [0, 1, 7, 18])
    def test_stage_crashes(self, stage: int, position: int) -> None:
        async def check() -> None:
            async with systems.System() as system:
                caller = systems.Caller()

                def kill() -> None:
                    system.kill(_running_sidecar(system, stage))

                caller.on_position[position] = kill
                await system.answer(PROMPT, caller)
                assert caller.texts == system.expected(PROMPT, 20)

        virtual.run(check)

    @pytest.mark.parametrize("killed", ["head", "tail", "both"])
    @pytest.mark.parametrize("length", [20, 1])
    def test_crash_after_the_last_token_adds_no_token(
        self, killed: str, length: int
    ) -> None:
        """A further attempt must not generate tokens past the end."""

        async def check() -> None:
            async with systems.System() as system:
                caller = systems.Caller()

                def kill() -> None:
                    head, tail = caller.location
                    for name in {"head": {head}, "tail": {tail}}.get(
                        killed, {head, tail}
                    ):
                        system.kill(name)

                caller.on_position[length - 1] = kill
                finish = await system.answer(PROMPT, caller, length)
                assert caller.texts == system.expected(PROMPT, length)
                assert finish == "length"

        virtual.run(check)

    def test_crash_after_a_stop_token_adds_no_token(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                prompt, length = _prompt_that_stops(system)
                caller = systems.Caller()
                caller.on_position[length - 1] = lambda: system.kill(
                    caller.location[0]
                )
                finish = await system.answer(prompt, caller, 400)
                assert caller.texts == system.expected(prompt, 400)
                assert finish == "stop"

        virtual.run(check)

    def test_two_stages_die_together(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                caller = systems.Caller()
                killed: list[str] = []

                def kill() -> None:
                    for name in (
                        _running_sidecar(system, 0),
                        _running_sidecar(system, 2),
                    ):
                        killed.append(name)
                    for name in killed:
                        system.kill(name)

                caller.on_position[5] = kill
                await system.answer(PROMPT, caller)
                assert caller.texts == system.expected(PROMPT, 20)

        virtual.run(check)

    @pytest.mark.parametrize("stage", [0, 1, 2])
    def test_stage_freezes(self, stage: int) -> None:
        async def check() -> None:
            async with systems.System() as system:
                caller = systems.Caller()
                frozen: list[str] = []

                def freeze() -> None:
                    frozen.append(_running_sidecar(system, stage))
                    system.network.freeze(frozen[0])

                caller.on_position[5] = freeze
                started = anyio.current_time()
                await system.answer(PROMPT, caller)
                assert anyio.current_time() - started < 4.0
                # Records that the frozen stage sends later change nothing.
                system.network.thaw(frozen[0])
                await anyio.sleep(10.0)
                assert caller.texts == system.expected(PROMPT, 20)

        virtual.run(check)

    def test_link_between_stages_is_cut(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                caller = systems.Caller()

                def cut() -> None:
                    ends = (
                        _running_sidecar(system, 0),
                        _running_sidecar(system, 1),
                    )
                    system.network.cut(*ends)

                caller.on_position[5] = cut
                await system.answer(PROMPT, caller)
                assert caller.texts == system.expected(PROMPT, 20)

        virtual.run(check)

    def test_engine_fails_but_its_sidecar_lives(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                caller = systems.Caller()

                def fail() -> None:
                    name = _running_sidecar(system, 1)
                    system.engines[name].failure = systems.make_error(
                        errors.Code.UPSTREAM_LOST
                    )

                caller.on_position[5] = fail
                await system.answer(PROMPT, caller)
                assert caller.texts == system.expected(PROMPT, 20)

        virtual.run(check)

    def test_no_path_is_refused_as_not_run(self) -> None:
        async def check() -> None:
            async with systems.System(replicas=1) as system:
                system.kill("s1-0")
                await anyio.sleep(1.0)
                with pytest.raises(errors.CrowdeckError) as caught:
                    await system.answer(PROMPT, systems.Caller())
                assert caught.value.code == errors.Code.NO_PATH
                assert caught.value.verdict.is_retry_safe
                assert caught.value.retry_after is not None

        virtual.run(check)

    def test_no_path_after_a_crash_is_not_told_as_not_run(self) -> None:
        async def check() -> None:
            async with systems.System(replicas=1) as system:
                caller = systems.Caller()
                caller.on_position[5] = lambda: system.kill("s1-0")
                with pytest.raises(errors.CrowdeckError) as caught:
                    await system.answer(PROMPT, caller)
                assert caller.pieces
                assert not caught.value.verdict.is_retry_safe

        virtual.run(check)


class TestEntryCrash:
    """The entry crashes, and its caller resumes at another one."""

    @pytest.mark.parametrize("position", [0, 6, 19])
    def test_answer_is_resumed_at_another_entry(self, position: int) -> None:
        async def check() -> None:
            async with systems.System() as system:
                first, second = systems.Caller(), systems.Caller()
                request = system.request(PROMPT)
                await _run_until_entry_killed(system, request, first, position)
                resume = model_requests.ResumePoint(
                    len(first.pieces), *first.location
                )
                await system.make_driver(request, second, entry=1).run(resume)
                together = first.texts + (
                    second.texts if second.pieces else []
                )
                assert together == system.expected(PROMPT, 20)

        virtual.run(check)

    def test_head_crashes_as_well(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                first, second = systems.Caller(), systems.Caller()
                request = system.request(PROMPT)
                await _run_until_entry_killed(system, request, first, 6)
                system.kill(first.location[0])
                resume = model_requests.ResumePoint(
                    len(first.pieces), *first.location
                )
                await system.make_driver(request, second, entry=1).run(resume)
                assert first.texts + second.texts == system.expected(
                    PROMPT, 20
                )

        virtual.run(check)

    def test_answer_of_another_team_is_not_given(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                first, second = systems.Caller(), systems.Caller()
                request = system.request(PROMPT)
                await _run_until_entry_killed(system, request, first, 6)
                other_request = system.request(
                    PROMPT, request=request.request, team="others"
                )
                resume = model_requests.ResumePoint(0, *first.location)
                with pytest.raises(errors.CrowdeckError) as caught:
                    await system.make_driver(
                        other_request, second, entry=1
                    ).run(resume)
                assert caught.value.code == errors.Code.ANSWER_GONE
                assert not second.pieces

        virtual.run(check)

    def test_other_team_cannot_replace_a_running_answer(self) -> None:
        """A later epoch of the same request id, but from another team."""

        async def check() -> None:
            async with systems.System() as system:
                caller = systems.Caller()
                refused: list[errors.Code] = []

                def open_for_other_team() -> None:
                    head = _stage_of(system, 0)
                    own = next(
                        attempt
                        for attempt in head.registry.all_attempts
                        if attempt.is_running
                    )
                    other_opening = attrs.evolve(
                        own.opening, epoch=5, team="x"
                    )
                    try:
                        head.open(_NO_PEER, other_opening)
                    except errors.CrowdeckError as error:
                        refused.append(error.code)

                caller.on_position[5] = open_for_other_team
                await system.answer(PROMPT, caller)
                assert refused == [errors.Code.FORBIDDEN]
                assert caller.texts == system.expected(PROMPT, 20)

        virtual.run(check)

    def test_previous_entry_is_superseded(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                first, second = systems.Caller(0.05), systems.Caller()
                request = system.request(PROMPT, 200, window=8)
                outcome: list[errors.Code] = []

                async def run_first() -> None:
                    try:
                        await system.make_driver(request, first).run()
                    except errors.CrowdeckError as error:
                        outcome.append(error.code)

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(run_first)
                    await anyio.sleep(1.0)
                    resume = model_requests.ResumePoint(
                        len(first.pieces), *first.location
                    )
                    await system.make_driver(request, second, entry=1).run(
                        resume
                    )
                assert outcome == [errors.Code.SUPERSEDED]
                assert second.texts[-1] == system.expected(PROMPT, 200)[-1]

        virtual.run(check)


class TestPlannedStop:
    """A stage leaves while it runs an answer."""

    @pytest.mark.parametrize("stage", [0, 1, 2])
    @pytest.mark.parametrize("position", [1, 9])
    def test_answer_moves_with_its_cache(
        self, stage: int, position: int
    ) -> None:
        async def check() -> None:
            async with systems.System() as system:
                caller = systems.Caller()
                left: list[str] = []

                def leave() -> None:
                    left.append(_running_sidecar(system, stage))
                    system.sidecar(left[0]).begin_drain(30.0)

                caller.on_position[position] = leave
                await system.answer(PROMPT, caller, count=400)
                assert caller.texts == system.expected(PROMPT, 400)
                # Nothing is computed twice: the prompt runs through each
                # stage's layers once, on whichever engine holds them.
                sequences = [
                    name
                    for engine in system.engines.values()
                    for name, _ in engine.runs
                ]
                assert all(_is_first_run(name) for name in sequences)
                assert system.sidecar(left[0]).running == 0

        virtual.run(check)

    @pytest.mark.parametrize("stage", [0, 1, 2])
    def test_answer_moves_while_engines_are_busy(self, stage: int) -> None:
        """If a busy stage refused the move, the answer would be replayed."""

        async def check() -> None:
            async with systems.System() as system:
                for engine in system.engines.values():
                    engine.slowness = 100.0
                caller = systems.Caller()

                def leave() -> None:
                    system.sidecar(
                        _running_sidecar(system, stage)
                    ).begin_drain(30.0)

                caller.on_position[3] = leave
                await system.answer(PROMPT, caller, count=12)
                assert caller.texts == system.expected(PROMPT, 12)
                names = [
                    name
                    for engine in system.engines.values()
                    for name, _ in engine.runs
                ]
                assert all(_is_first_run(name) for name in names)

        virtual.run(check)

    def test_stage_without_a_replacement_finishes_the_answer(self) -> None:
        async def check() -> None:
            async with systems.System(replicas=1) as system:
                caller = systems.Caller()
                caller.on_position[5] = lambda: system.sidecar(
                    "s1-0"
                ).begin_drain(30.0)
                await system.answer(PROMPT, caller, count=400)
                assert caller.texts == system.expected(PROMPT, 400)

        virtual.run(check)

    def test_leaving_stage_gets_no_new_work(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                system.sidecar("s1-0").begin_drain(30.0)
                await anyio.sleep(1.0)
                before = sum(system.engines["s1-0"].runs.values())
                for _ in range(5):
                    await system.answer(PROMPT, systems.Caller())
                assert sum(system.engines["s1-0"].runs.values()) == before

        virtual.run(check)


class TestCallers:
    """Callers that are slow, or leave."""

    def test_slow_caller_limits_the_head(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                caller = systems.Caller(seconds_per_piece=0.5)
                request = system.request(PROMPT, 300, window=8)
                with anyio.move_on_after(10.0):
                    await system.make_driver(request, caller).run()
                head = system.sidecar(caller.location[0])
                assert head._stage is not None
                generated_count = max(
                    len(attempt.pieces)
                    for attempt in head._stage.registry.all_attempts
                )
                assert (
                    len(caller.pieces)
                    < generated_count
                    <= len(caller.pieces) + 16
                )

        virtual.run(check)

    @pytest.mark.parametrize("entry", [0, 1])
    def test_answer_survives_a_broken_connection(self, entry: int) -> None:
        """A caller that reconnects soon must not get ANSWER_GONE."""

        async def check() -> None:
            async with systems.System() as system:
                first, second = systems.Caller(0.05), systems.Caller()
                request = system.request(PROMPT, 100, window=8)
                with anyio.move_on_after(1.0):
                    await system.make_driver(request, first).run()
                await anyio.sleep(2.0)
                resume = model_requests.ResumePoint(
                    len(first.pieces), *first.location
                )
                await system.make_driver(request, second, entry).run(resume)
                assert first.texts + second.texts == system.expected(
                    PROMPT, 100
                )

        virtual.run(check)

    def test_leaving_caller_frees_every_engine(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                caller = systems.Caller(seconds_per_piece=0.5)
                request = system.request(PROMPT, 300, window=8)
                with anyio.move_on_after(3.0):
                    await system.make_driver(request, caller).run()
                await anyio.sleep(driver.RECONNECT_GRACE_SECONDS + 1.0)
                for engine in system.engines.values():
                    assert not engine.sequences

        virtual.run(check)

    def test_deadline_ends_an_answer_with_an_error(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                request = system.request(PROMPT, 5000, seconds_left=0.5)
                with pytest.raises(errors.CrowdeckError) as caught:
                    await system.make_driver(request, systems.Caller()).run()
                assert caught.value.code == errors.Code.DEADLINE
                await anyio.sleep(1.0)
                for engine in system.engines.values():
                    assert not engine.sequences

        virtual.run(check)


class TestInvalidRecords:
    """Records that are late, duplicated, misdirected or altered."""

    def test_duplicate_records_change_nothing(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                system.network.fault = lambda source, target, message: (
                    (0.0, 0.0)
                    if isinstance(message, messages.Record)
                    else (0.0,)
                )
                caller = systems.Caller()
                await system.answer(PROMPT, caller)
                assert caller.texts == system.expected(PROMPT, 20)
                for engine in system.engines.values():
                    assert set(engine.runs.values()) <= {1}

        virtual.run(check)

    def test_lost_token_is_detected_by_a_timeout(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                lost: list[messages.Token] = []

                def lose(
                    source: str, target: str, message: typing.Any
                ) -> tuple[float, ...]:
                    is_token = isinstance(message, messages.Token)
                    if is_token and not lost and message.position == 4:
                        lost.append(message)
                        return ()
                    return (0.0,)

                system.network.fault = lose
                caller = systems.Caller()
                await system.answer(PROMPT, caller)
                assert lost
                assert caller.texts == system.expected(PROMPT, 20)

        virtual.run(check)

    @pytest.mark.parametrize(
        "change",
        [
            {"next_layer": 5},
            {"position": 9},
            {"context": 3},
            {"epoch": 7},
        ],
    )
    def test_wrong_record_never_reaches_the_caller(
        self, change: dict[str, int]
    ) -> None:
        """A record that was altered on its way is refused."""

        async def check() -> None:
            async with systems.System() as system:
                altered: list[object] = []

                def alter(record: messages.Record) -> messages.Record:
                    is_step = isinstance(record, messages.Step)
                    if is_step and record.position == 4 and not altered:
                        altered.append(record)
                        return attrs.evolve(record, **change)
                    return record

                _alter_records(system, alter)
                caller = systems.Caller()
                await system.answer(PROMPT, caller)
                assert altered
                assert caller.texts == system.expected(PROMPT, 20)

        virtual.run(check)

    def test_record_for_an_earlier_stage_is_refused(self) -> None:
        """A step that skips a stage would produce a wrong token."""

        async def check() -> None:
            async with systems.System() as system:
                skipped: list[messages.Step] = []

                def skip_stage(record: messages.Record) -> messages.Record:
                    is_first = (
                        isinstance(record, messages.Step)
                        and record.position == 4
                        and record.next_layer == 2
                    )
                    if is_first and not skipped:
                        assert isinstance(record, messages.Step)
                        skipped.append(record)
                        _stage_of(system, 2).on_step(_NO_PEER, record)
                        return messages.Cancel("nobody", 0)
                    return record

                _alter_records(system, skip_stage)
                caller = systems.Caller()
                await system.answer(PROMPT, caller)
                assert skipped
                assert caller.texts == system.expected(PROMPT, 20)

        virtual.run(check)

    def test_record_of_an_earlier_epoch_is_refused(self) -> None:
        """A late step of an earlier attempt differs only in its epoch."""

        async def check() -> None:
            async with systems.System() as system:
                caller = systems.Caller()
                late: list[messages.Step] = []

                def inject() -> None:
                    tail, attempt = _running_tail(system, epoch=1)
                    step = messages.Step(
                        request=attempt.request,
                        epoch=0,
                        position=attempt.next_position,
                        next_layer=attempt.first_layer,
                        context=attempt.context,
                        hidden=bytes(8),
                    )
                    late.append(step)
                    tail.on_step(_NO_PEER, step)

                caller.on_position[3] = lambda: system.kill(
                    _running_sidecar(system, 1)
                )
                caller.on_position[8] = inject
                await system.answer(PROMPT, caller)
                assert late
                assert caller.texts == system.expected(PROMPT, 20)

        virtual.run(check)

    def test_answer_with_an_altered_token_is_refused(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                altered: list[object] = []

                def alter(record: messages.Record) -> messages.Record:
                    is_answer = isinstance(record, messages.Answer)
                    if is_answer and record.position == 19 and not altered:
                        altered.append(record)
                        return attrs.evolve(record, text="foreign")
                    return record

                _alter_records(system, alter)
                with pytest.raises(errors.CrowdeckError) as caught:
                    await system.answer(PROMPT, systems.Caller())
                assert caught.value.code == errors.Code.WRONG_ANSWER

        virtual.run(check)


# Records are checked by their content, not by the link they arrive on.
_NO_PEER: typing.Any = None


def _stage_of(system: systems.System, stage: int) -> stages.Stage:
    found = system.sidecar(_running_sidecar(system, stage))._stage
    assert found is not None
    return found


def _is_first_run(sequence: str) -> bool:
    """Return whether a sequence is of attempt 0 or an imported KV cache."""
    return sequence.endswith((".0", ".import"))


def _prompt_that_stops(system: systems.System) -> tuple[str, int]:
    """Return a prompt and the number of tokens of its answer.

    The model ends that answer before 60 tokens.
    """
    for number in range(1000):
        prompt = f"short question {number}"
        length = len(system.expected(prompt, 60))
        if 5 < length < 60:
            return prompt, length
    raise AssertionError("no such prompt")


def _running_tail(
    system: systems.System, epoch: int
) -> tuple[stages.Stage, attempts.Attempt]:
    for name in system.engines:
        stage = system.sidecar(name)._stage
        assert stage is not None
        for attempt in stage.registry.all_attempts:
            if attempt.is_tail and attempt.epoch == epoch:
                return stage, attempt
    raise AssertionError(f"no tail runs epoch {epoch}")


def _running_sidecar(system: systems.System, stage: int) -> str:
    for name in system.engines:
        if name.startswith(f"s{stage}-") and system.sidecar(name).running:
            return name
    raise AssertionError(f"no stage {stage} runs anything")


def _alter_records(system: systems.System, alter: typing.Any) -> None:
    """Pass each arriving record through ``alter``."""
    for node in system.network.nodes:
        handler = node.handler
        original = handler.on_record

        def on_record(
            peer: typing.Any,
            record: messages.Record,
            original: typing.Any = original,
        ) -> None:
            original(peer, alter(record))

        handler.on_record = on_record


async def _run_until_entry_killed(
    system: systems.System,
    request: model_requests.ModelRequest,
    caller: systems.Caller,
    position: int,
) -> None:
    """Run a request at entry 0 and kill that entry at a position."""
    async with anyio.create_task_group() as tasks:

        def kill() -> None:
            system.kill("e0")
            tasks.cancel_scope.cancel()

        caller.on_position[position] = kill
        await system.make_driver(request, caller).run()
