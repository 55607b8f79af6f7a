# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Turns what callers and stand-ins saw into figures."""

import collections
import statistics
import typing

import attrs
from hdrh import histogram

from bench import fleet as fleets
from bench import load as loads
from bench import scenarios
from crowdeck.standin import model as models

# The aims, 0.59 s and 41 ms, times the stand-ins' scale: their
# devices take about twenty times as long as the ones the aims are for, so
# that the machine under the bench is not the limit.
SCALE = 20.0
FIRST_TOKEN_SECONDS = 0.59 * SCALE
TOKEN_GAP_SECONDS = 0.041 * SCALE
BUCKET_SECONDS = 0.25
RECOVERED = 0.99


@attrs.frozen
class Seen:
    """All that one run saw."""

    scenario: str
    seed: int
    policy: str
    started: float
    seconds: float
    bound: float
    answers: list[loads.Answer]
    calls: list[loads.Call]
    service_runs: dict[str, int]
    begun: dict[str, list[tuple[str, float]]]
    faults: scenarios.FaultLog
    control_bytes_per_s: float
    control_core_share: float
    retries: int


def figures(seen: Seen) -> dict[str, typing.Any]:
    """Return the figures of one run."""
    model = models.StandinModel(
        f"{fleets.MODEL}/{fleets.VERSION}", fleets.LAYERS
    )
    expected = {
        id(one): [c.text for c in model.answer(one.prompt, one.wanted)]
        for one in seen.answers
        if one.texts
    }
    wrong = [
        one
        for one in seen.answers
        if one.texts and one.texts != expected[id(one)][: len(one.texts)]
    ]
    crossed = sum(
        any(
            one.texts == other[: len(one.texts)] for other in expected.values()
        )
        for one in wrong
        if len(one.texts) > 3
    )
    whole = [
        one
        for one in seen.answers
        if one.is_whole and one.texts == expected[id(one)]
    ]
    refused = [
        one
        for one in seen.answers
        if one.code and one.verdict == "not_run" and not one.texts
    ]
    recovery = _recovery(seen)
    return {
        "scenario": seen.scenario,
        "seed": seen.seed,
        "policy": seen.policy,
        "bound_tokens_per_s": round(seen.bound, 1),
        "throughput_ratio": round(_useful(seen, whole) / seen.bound, 4),
        "first_token_p95_s": _p95(
            [one.times[0] - one.asked_at for one in whole]
        ),
        "token_gap_p95_s": _p95([gap for one in whole for gap in one.gaps]),
        "recovery_p50_s": _quantile(recovery, 0.5),
        "recovery_p95_s": _quantile(recovery, 0.95),
        "worst_gap_s": round(
            max((gap for one in whole for gap in one.gaps), default=0.0), 3
        ),
        "requests": len(seen.answers) + len(seen.calls),
        "answered": len(whole) + sum(c.status == 200 for c in seen.calls),
        "refused_not_run": len(refused),
        "lost": len(seen.answers) - len(whole) - len(refused),
        "duplicated": sum(runs - 1 for runs in seen.service_runs.values()),
        "crossed": crossed,
        "layer_violations": len(wrong) - crossed,
        "false_not_run": sum(
            call.verdict == "not_run"
            and not call.has_key
            and seen.service_runs.get(f"receipt {call.number}", 0) > 0
            for call in seen.calls
        ),
        "streams_cut_by_stop": _cut(seen) if seen.faults.leaving else 0,
        "work_after_leaving_s": _work_after_leaving(seen),
        "retry_ratio": round(seen.retries / max(1, len(seen.answers)), 4),
        "jain_fairness": _fairness(seen, whole),
        "small_team_answered": _small_share(seen, whole),
        "control_bytes_per_s": round(seen.control_bytes_per_s, 1),
        "control_core_share": round(seen.control_core_share, 5),
        "scale": SCALE,
    }


def _useful(seen: Seen, whole: list[loads.Answer]) -> float:
    """Return tokens a second of answers that met their deadlines.

    The first part of the time, while streams build up, is left out.
    """
    begin = seen.started + 0.4 * seen.seconds
    end = seen.started + seen.seconds
    count = 0
    for one in whole:
        is_early = one.times[0] - one.asked_at <= FIRST_TOKEN_SECONDS
        pace = statistics.mean(one.gaps) if one.gaps else 0.0
        if is_early and pace <= TOKEN_GAP_SECONDS:
            count += sum(begin <= at < end for at in one.times)
    return count / (end - begin)


def _recovery(seen: Seen) -> list[float]:
    """Return, for each fault, the time until service was as before it.

    Service is the number of tokens per bucket over answers in progress,
    so that fewer arrivals do not look like a failure.
    """
    if not seen.faults.at:
        return []
    buckets: collections.Counter[int] = collections.Counter()
    active: collections.Counter[int] = collections.Counter()
    for one in seen.answers:
        for at in one.times:
            buckets[int((at - seen.started) / BUCKET_SECONDS)] += 1
        if one.times:
            first = int((one.times[0] - seen.started) / BUCKET_SECONDS)
            last = int((one.times[-1] - seen.started) / BUCKET_SECONDS)
            for bucket in range(first, last + 1):
                active[bucket] += 1
    found = []
    for at in seen.faults.at:
        fault = int((at - seen.started) / BUCKET_SECONDS)
        before = [
            buckets[b] / active[b]
            for b in range(max(0, fault - 12), fault)
            if active[b]
        ]
        if not before:
            continue
        # One bucket is noisy: the usual level is what a tenth of the
        # buckets before the fault fell short of.
        usual = sorted(before)[len(before) // 10] * RECOVERED
        found.append(_time_back(buckets, active, fault, usual))
    return found


def _time_back(
    buckets: collections.Counter[int],
    active: collections.Counter[int],
    fault: int,
    usual: float,
) -> float:
    end = max(buckets, default=fault)
    last_short = fault - 1
    for bucket in range(fault, min(end, fault + 40)):
        if active[bucket] and buckets[bucket] / active[bucket] < usual:
            last_short = bucket
        elif bucket - last_short >= 4:
            break
    return (last_short + 1 - fault) * BUCKET_SECONDS


def _cut(seen: Seen) -> int:
    return sum(bool(one.texts) and not one.is_whole for one in seen.answers)


def _work_after_leaving(seen: Seen) -> float:
    """Return how long after its stop began a leaving instance got work.

    Its next run has the same name and engine, so only what began before
    the first run ended counts.
    """
    latest = 0.0
    for name, left in seen.faults.leaving.items():
        ended = seen.faults.ended.get(name, float("inf"))
        for sequence, at in seen.begun.get(name, []):
            if sequence.endswith(".0") and left < at <= ended:
                latest = max(latest, at - left)
    return round(latest, 3)


def _fairness(seen: Seen, whole: list[loads.Answer]) -> float:
    """Return Jain's index over the teams that ask for the same."""
    asked: collections.Counter[int] = collections.Counter()
    served: collections.Counter[int] = collections.Counter()
    for one in seen.answers:
        asked[one.team] += one.wanted
    for one in whole:
        served[one.team] += one.wanted
    shares = [served[t] / asked[t] for t in asked if t >= 3]
    squares = sum(share**2 for share in shares)
    if not squares:
        return 0.0
    return round(sum(shares) ** 2 / (len(shares) * squares), 4)


def _small_share(seen: Seen, whole: list[loads.Answer]) -> float:
    small = [one for one in seen.answers if one.team >= 3]
    served = sum(one.team >= 3 for one in whole)
    return round(served / max(1, len(small)), 4)


def _p95(values: list[float]) -> float:
    recorded = histogram.HdrHistogram(1, 600_000_000, 3)
    for value in values:
        recorded.record_value(max(1, int(value * 1e6)))
    if not values:
        return 0.0
    return round(recorded.get_value_at_percentile(95) / 1e6, 4)


def _quantile(values: list[float], quantile: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
