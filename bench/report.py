# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Computes the metrics of a run from records of callers and stand-ins."""

import collections
import statistics
import typing

import attrs
from hdrh import histogram

from bench import fleet as fleets
from bench import load as loads
from bench import scenarios
from crowdeck.standin import model as models

# Factor by which stand-in devices are slower than the devices that the latency
# targets apply to; at full speed, the machine that runs the benchmark would be
# the bottleneck.
SCALE = 20.0
FIRST_TOKEN_TARGET_SECONDS = 0.59 * SCALE
TOKEN_GAP_TARGET_SECONDS = 0.041 * SCALE
BUCKET_SECONDS = 0.25
RECOVERED_SHARE = 0.99


@attrs.frozen
class RunRecord:
    """Everything recorded in one run.

    :ivar started_at: monotonic time, as are all times here.
    :ivar bound_tokens_per_second: maximum rate of the devices of a stage.
    :ivar execution_counts: number of executions of each service operation.
    :ivar sequence_starts: by engine, sequence IDs with their start times.
    """

    scenario: str
    seed: int
    policy: str
    started_at: float
    seconds: float
    bound_tokens_per_second: float
    answers: list[loads.Answer]
    calls: list[loads.Call]
    execution_counts: dict[str, int]
    sequence_starts: dict[str, list[tuple[str, float]]]
    faults: scenarios.FaultLog
    control_bytes_per_s: float
    control_core_share: float
    retries: int


def compute_metrics(run: RunRecord) -> dict[str, typing.Any]:
    """Return the metrics of one run, as they are printed."""
    model = models.StandinModel(
        f"{fleets.MODEL}/{fleets.VERSION}", fleets.LAYER_COUNT
    )
    expected = {
        id(answer): [
            token.text
            for token in model.answer(answer.prompt, answer.max_tokens)
        ]
        for answer in run.answers
        if answer.token_texts
    }
    mismatched = [
        answer
        for answer in run.answers
        if answer.token_texts
        and answer.token_texts
        != expected[id(answer)][: len(answer.token_texts)]
    ]
    # Answers that equal the start of another request's answer. Up to three
    # tokens are not counted, as they can be equal by chance.
    crossed = sum(
        any(
            answer.token_texts == other[: len(answer.token_texts)]
            for other in expected.values()
        )
        for answer in mismatched
        if len(answer.token_texts) > 3
    )
    correct = [
        answer
        for answer in run.answers
        if answer.is_complete and answer.token_texts == expected[id(answer)]
    ]
    refused = [
        answer
        for answer in run.answers
        if answer.code
        and answer.verdict == "not_run"
        and not answer.token_texts
    ]
    recovery_seconds = _recovery_seconds(run)
    return {
        "scenario": run.scenario,
        "seed": run.seed,
        "policy": run.policy,
        "bound_tokens_per_s": round(run.bound_tokens_per_second, 1),
        "throughput_ratio": round(
            _goodput(run, correct) / run.bound_tokens_per_second, 4
        ),
        "first_token_p95_s": _p95(
            [answer.token_times[0] - answer.sent_at for answer in correct]
        ),
        "token_gap_p95_s": _p95(
            [gap for answer in correct for gap in answer.gap_seconds]
        ),
        "recovery_p50_s": _quantile(recovery_seconds, 0.5),
        "recovery_p95_s": _quantile(recovery_seconds, 0.95),
        "worst_gap_s": round(
            max(
                (gap for answer in correct for gap in answer.gap_seconds),
                default=0.0,
            ),
            3,
        ),
        "requests": len(run.answers) + len(run.calls),
        "answered": len(correct)
        + sum(call.status == 200 for call in run.calls),
        "refused_not_run": len(refused),
        "lost": len(run.answers) - len(correct) - len(refused),
        "duplicated": sum(
            count - 1 for count in run.execution_counts.values()
        ),
        "crossed": crossed,
        "layer_violations": len(mismatched) - crossed,
        "false_not_run": sum(
            call.verdict == "not_run"
            and not call.has_key
            and run.execution_counts.get(f"receipt {call.number}", 0) > 0
            for call in run.calls
        ),
        "streams_cut_by_stop": _interrupted_streams(run)
        if run.faults.stopped_at
        else 0,
        "work_after_leaving_s": _work_after_stop_seconds(run),
        "retry_ratio": round(run.retries / max(1, len(run.answers)), 4),
        "jain_fairness": _fairness(run, correct),
        "small_team_answered": _small_teams_answered(run, correct),
        "control_bytes_per_s": round(run.control_bytes_per_s, 1),
        "control_core_share": round(run.control_core_share, 5),
        "scale": SCALE,
    }


def _goodput(run: RunRecord, correct: list[loads.Answer]) -> float:
    """Return tokens a second of answers that met both latency targets.

    Leaves out the start of the run, in which the number of streams grows.
    """
    start = run.started_at + 0.4 * run.seconds
    end = run.started_at + run.seconds
    count = 0
    for answer in correct:
        met_first_token_target = (
            answer.token_times[0] - answer.sent_at
            <= FIRST_TOKEN_TARGET_SECONDS
        )
        mean_gap_seconds = (
            statistics.mean(answer.gap_seconds) if answer.gap_seconds else 0.0
        )
        if (
            met_first_token_target
            and mean_gap_seconds <= TOKEN_GAP_TARGET_SECONDS
        ):
            count += sum(start <= at < end for at in answer.token_times)
    return count / (end - start)


def _recovery_seconds(run: RunRecord) -> list[float]:
    """Return, for each fault, the seconds until the token rate recovered.

    The rate is the number of tokens in a bucket divided by the number of
    streams active in it, so that fewer arrivals do not count as a failure.
    """
    if not run.faults.times:
        return []
    tokens_by_bucket: collections.Counter[int] = collections.Counter()
    active_by_bucket: collections.Counter[int] = collections.Counter()
    for answer in run.answers:
        for at in answer.token_times:
            tokens_by_bucket[int((at - run.started_at) / BUCKET_SECONDS)] += 1
        if answer.token_times:
            first = int(
                (answer.token_times[0] - run.started_at) / BUCKET_SECONDS
            )
            last = int(
                (answer.token_times[-1] - run.started_at) / BUCKET_SECONDS
            )
            for bucket in range(first, last + 1):
                active_by_bucket[bucket] += 1
    recovery_seconds = []
    for at in run.faults.times:
        fault_bucket = int((at - run.started_at) / BUCKET_SECONDS)
        before = [
            tokens_by_bucket[earlier] / active_by_bucket[earlier]
            for earlier in range(max(0, fault_bucket - 12), fault_bucket)
            if active_by_bucket[earlier]
        ]
        if not before:
            continue
        # Single buckets vary, so the threshold is RECOVERED_SHARE of the 10th
        # percentile of the buckets before the fault.
        threshold = sorted(before)[len(before) // 10] * RECOVERED_SHARE
        recovery_seconds.append(
            _seconds_below(
                tokens_by_bucket, active_by_bucket, fault_bucket, threshold
            )
        )
    return recovery_seconds


def _seconds_below(
    tokens_by_bucket: collections.Counter[int],
    active_by_bucket: collections.Counter[int],
    fault_bucket: int,
    threshold: float,
) -> float:
    """Return the seconds from a fault until the token rate recovers.

    It has recovered when four buckets in a row are not below the threshold.
    No more than 40 buckets are examined.
    """
    end = max(tokens_by_bucket, default=fault_bucket)
    last_below = fault_bucket - 1
    for bucket in range(fault_bucket, min(end, fault_bucket + 40)):
        if (
            active_by_bucket[bucket]
            and tokens_by_bucket[bucket] / active_by_bucket[bucket] < threshold
        ):
            last_below = bucket
        elif bucket - last_below >= 4:
            break
    return (last_below + 1 - fault_bucket) * BUCKET_SECONDS


def _interrupted_streams(run: RunRecord) -> int:
    return sum(
        bool(answer.token_texts) and not answer.is_complete
        for answer in run.answers
    )


def _work_after_stop_seconds(run: RunRecord) -> float:
    """Return the longest time from a planned stop to the start of new work.

    The time is in seconds. The process that replaces a stopped one has the
    same name, so only work that began before the stopped one ended counts.
    """
    longest = 0.0
    for name, stopped_at in run.faults.stopped_at.items():
        ended_at = run.faults.ended_at.get(name, float("inf"))
        for sequence_id, at in run.sequence_starts.get(name, []):
            # Epoch 0 is a request's first attempt; retries are not counted.
            if sequence_id.endswith(".0") and stopped_at < at <= ended_at:
                longest = max(longest, at - stopped_at)
    return round(longest, 3)


def _fairness(run: RunRecord, correct: list[loads.Answer]) -> float:
    """Return Jain's index over the teams with the same request rate."""
    requested: collections.Counter[int] = collections.Counter()
    served: collections.Counter[int] = collections.Counter()
    for answer in run.answers:
        requested[answer.team] += answer.max_tokens
    for answer in correct:
        served[answer.team] += answer.max_tokens
    shares = [
        served[team] / requested[team] for team in requested if team >= 3
    ]
    squares = sum(share**2 for share in shares)
    if not squares:
        return 0.0
    return round(sum(shares) ** 2 / (len(shares) * squares), 4)


def _small_teams_answered(
    run: RunRecord, correct: list[loads.Answer]
) -> float:
    """Return the share of the small teams' requests that was answered."""
    small = [answer for answer in run.answers if answer.team >= 3]
    served = sum(answer.team >= 3 for answer in correct)
    return round(served / max(1, len(small)), 4)


def _p95(seconds: list[float]) -> float:
    microseconds = histogram.HdrHistogram(1, 600_000_000, 3)
    for value in seconds:
        microseconds.record_value(max(1, int(value * 1e6)))
    if not seconds:
        return 0.0
    return round(microseconds.get_value_at_percentile(95) / 1e6, 4)


def _quantile(values: list[float], quantile: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
