# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The gate that admits attempts to an upstream."""

import hypothesis
from hypothesis import strategies
import pytest

from crowdeck import errors
from crowdeck.sidecar import gate as gates
from crowdeck import verdict as verdicts

INCARNATION = 7


class _Clock:
    def __init__(self) -> None:
        self.seconds = 0.0

    def now(self) -> float:
        return self.seconds


def make_gate(max_records: int = 10) -> tuple[gates.Gate, _Clock]:
    clock = _Clock()
    return gates.Gate(INCARNATION, clock, max_records), clock


def code_of(function: object, *arguments: object) -> errors.Code:
    with pytest.raises(errors.CrowdeckError) as caught:
        function(*arguments)  # type: ignore[operator]
    return caught.value.code


class TestGate:
    """Which attempts the gate admits, and the verdicts that it returns."""

    def test_sealed_attempt_is_never_admitted(self) -> None:
        gate, _ = make_gate()
        assert gate.seal("a", 0, INCARNATION) is verdicts.Verdict.NOT_RUN
        assert code_of(gate.admit, "a", 0, True) is errors.Code.SEALED
        gate.admit("a", 1, True)

    def test_admitted_attempt_is_not_reported_as_not_run(self) -> None:
        gate, _ = make_gate()
        gate.admit("a", 0, True)
        assert gate.seal("a", 0, INCARNATION) is verdicts.Verdict.MAY_HAVE_RUN
        gate.finish("a")
        assert gate.seal("a", 0, INCARNATION) is verdicts.Verdict.RAN

    def test_other_incarnation_never_reports_not_run(self) -> None:
        gate, _ = make_gate()
        assert (
            gate.seal("a", 0, INCARNATION + 1) is verdicts.Verdict.MAY_HAVE_RUN
        )

    def test_attempt_is_admitted_once(self) -> None:
        gate, _ = make_gate()
        gate.admit("a", 2, True)
        for epoch in (0, 1, 2):
            code = code_of(gate.admit, "a", epoch, True)
            assert code is errors.Code.STALE_EPOCH

    def test_leaving_gate_refuses_new_work(self) -> None:
        gate, _ = make_gate()
        gate.leave()
        assert code_of(gate.admit, "a", 0, True) is errors.Code.LEAVING
        gate.admit("a", 0, False)

    def test_withdrawn_attempt_is_not_run_and_stays_so(self) -> None:
        gate, _ = make_gate()
        gate.admit("a", 0, True)
        gate.withdraw("a", 0)
        assert gate.seal("a", 0, INCARNATION) is verdicts.Verdict.NOT_RUN
        assert code_of(gate.admit, "a", 0, True) is errors.Code.SEALED

    def test_full_gate_refuses_new_requests(self) -> None:
        gate, clock = make_gate(max_records=2)
        gate.seal("a", 0, INCARNATION)
        gate.admit("b", 0, True)
        assert code_of(gate.admit, "c", 0, True) is errors.Code.OVERLOADED
        assert code_of(gate.admit, "a", 0, True) is errors.Code.SEALED
        clock.seconds = gates.RECORD_TTL_SECONDS + 1
        gate.admit("c", 0, True)

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["admit", "seal", "finish"]),
                strategies.integers(0, 3),
            ),
            max_size=12,
        )
    )
    def test_not_run_is_never_followed_by_a_run(
        self, operations: list[tuple[str, int]]
    ) -> None:
        gate, _ = make_gate()
        admitted: list[int] = []
        highest_not_run_epoch = -1
        for operation, epoch in operations:
            try:
                if operation == "admit":
                    gate.admit("a", epoch, True)
                    admitted.append(epoch)
                    assert epoch > highest_not_run_epoch
                elif operation == "seal":
                    outcome = gate.seal("a", epoch, INCARNATION)
                    if outcome is verdicts.Verdict.NOT_RUN:
                        assert not admitted
                        highest_not_run_epoch = max(
                            highest_not_run_epoch, epoch
                        )
                else:
                    gate.finish("a")
            except errors.CrowdeckError:
                continue
        assert admitted == sorted(set(admitted))
