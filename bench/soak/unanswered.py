# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Answers that ended early although nothing but silence could end them."""

import typing

import attrs

from bench.soak import callers as callers_module
from bench.soak import harm as harms

# Within this time of its deadline, a caller may have ended a request itself.
DEADLINE_MARGIN_SECONDS = 0.5


@attrs.frozen
class StreamRun:
    """One run of a stream at the stand-ins.

    :ivar instances: numbers of the instances on its paths.
    :ivar event_count: number of events that it sent.
    :ivar is_lost: whether it ended at the stand-ins without its last event.
    """

    request: str
    instances: tuple[int, ...]
    event_count: int
    is_lost: bool
    started_at: float


def find_violations(
    outcomes: typing.Iterable[callers_module.Outcome],
    ran: typing.Collection[str],
    stream_runs: typing.Iterable[StreamRun],
    entry_names: typing.Mapping[int, str],
    harm: harms.HarmLog,
) -> typing.Iterator[str]:
    """Yield each request that ended early with nothing to excuse it.

    A request that crossed the close of its connection was not read, so that
    one without an answer counts only if it ran.

    :param ran: ids of the requests that ran.
    :param entry_names: names of the entries, by the port for callers.
    """
    runs_by_request: dict[str, list[StreamRun]] = {}
    for run in stream_runs:
        runs_by_request.setdefault(run.request, []).append(run)
    for outcome in outcomes:
        if not _has_ended_early(outcome, entry_names, harm):
            continue
        runs = runs_by_request.get(outcome.request, [])
        if outcome.status != 200:
            if outcome.request in ran:
                yield (
                    f"{outcome.request}: expected an answer or a refusal "
                    f"after a run, found the end of the connection "
                    f"{outcome.ended_at - outcome.sent_at:.1f} s after it "
                    "was sent"
                )
        elif outcome.path == callers_module.STREAM_PATH and _is_sound(
            runs, outcome.ended_at, harm
        ):
            events = outcome.body.count(b"\n\n")
            yield (
                f"{outcome.request}: expected the whole answer of sound "
                f"instances {[run.instances for run in runs]}, found "
                f"{events} events and the end of the connection "
                f"{outcome.ended_at - outcome.sent_at:.1f} s after it "
                "was sent"
            )


def _has_ended_early(
    outcome: callers_module.Outcome,
    entry_names: typing.Mapping[int, str],
    harm: harms.HarmLog,
) -> bool:
    """Whether neither its caller nor its entry's harm ended a request."""
    if outcome.is_whole or not outcome.is_sent or not outcome.ended_at:
        return False
    seconds = outcome.ended_at - outcome.sent_at
    deadline = callers_module.REQUEST_TIMEOUT_SECONDS
    if seconds > deadline - DEADLINE_MARGIN_SECONDS:
        return False
    return not harm.is_harmed(
        entry_names[outcome.port], outcome.sent_at, outcome.ended_at
    )


def _is_sound(
    runs: typing.Iterable[StreamRun], until: float, harm: harms.HarmLog
) -> bool:
    """Whether all runs that may have delivered events were sound.

    The stand-ins do not notice when an entry leaves a run, so that any run
    with events may be the one that delivered the last event.
    """
    delivering = [run for run in runs if run.event_count]
    return bool(delivering) and not any(
        run.is_lost
        or any(
            harm.is_harmed(harms.name_instance(number), run.started_at, until)
            for number in run.instances
        )
        for run in delivering
    )
