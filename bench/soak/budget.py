# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The retry budget of a seed, and whether entries kept to it."""

import typing

import attrs

from bench.soak import callers as callers_module
from crowdeck.standin import repeats

# Small and over a short window, so that few callers exhaust it repeatedly.
ALLOWANCE = repeats.Allowance(ratio=0.05, slack=40.0, window_seconds=5.0)
SERVICES = {
    callers_module.STREAM_PATH: "model",
    callers_module.ONCE_PATH: "plain",
    callers_module.IDEMPOTENT_PATH: "plain",
}

# When each request arrived at a service, by the service's name.
Arrivals = dict[str, dict[str, list[float]]]


@attrs.frozen
class ServicePeak:
    """The window in which a service got most repeats relative to its budget.

    :ivar start_seconds: time from the first request to the start of the
        window.
    """

    service: str
    peak: repeats.RepeatWindow
    start_seconds: float

    def __str__(self) -> str:
        """Return a line for the report."""
        peak = self.peak
        if not peak.repeats:
            return f"repeats: {self.service} got none"
        return (
            f"repeats: {self.service}: found {peak.repeats}, "
            f"allowed {peak.allowed:.1f}, "
            f"in the window from {self.start_seconds:.2f} s"
        )


def to_ini(allowance: repeats.Allowance) -> str:
    """Return the budget as settings of an entry."""
    return (
        f"retry_ratio = {allowance.ratio}\n"
        f"retry_slack = {allowance.slack}\n"
        f"retry_window_seconds = {allowance.window_seconds}\n"
    )


def find_peaks(
    outcomes: typing.Sequence[callers_module.Outcome],
    arrivals: Arrivals,
    allowance: repeats.Allowance,
) -> list[ServicePeak]:
    """Return for each service the window that uses most of its budget.

    Callers and stand-ins both read the machine's monotonic clock.

    :param outcomes: all requests of callers, to any entry.
    """
    started_at = min(outcome.sent_at for outcome in outcomes)
    found = []
    for service, arrived in sorted(arrivals.items()):
        windows = _build_counter(service, outcomes, arrived).windows(allowance)
        peak = max(windows, key=lambda window: window.repeats / window.allowed)
        found.append(ServicePeak(service, peak, peak.started_at - started_at))
    return found


def _build_counter(
    service: str,
    outcomes: typing.Sequence[callers_module.Outcome],
    arrived: dict[str, list[float]],
) -> repeats.RepeatCounter:
    counter = repeats.RepeatCounter()
    sent_times = [
        outcome.sent_at
        for outcome in outcomes
        if outcome.is_sent and SERVICES[outcome.path] == service
    ]
    for time in sorted(sent_times):
        counter.count_request(time)
    for request, times in arrived.items():
        for time in times:
            counter.count_arrival(request, time)
    return counter
