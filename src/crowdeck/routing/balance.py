# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Load balancing over the instances of a plain service."""

import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck.routing import usage as usages

# The weight of a reported load falls to zero over this time. Calls take some
# tens of milliseconds, so an older report says little.
LOAD_REPORT_TTL_SECONDS = 0.5
# Weight of the newest sample in the moving averages.
EWMA_WEIGHT = 0.2
# Cost, in requests per slot, of using an instance in another zone.
CROSS_ZONE_COST = 0.3
# Cost of an instance that fails every call, in requests per slot.
FAILURE_COST = 3.0
# Cost of each second of mean latency, in requests per slot.
LATENCY_COST_PER_SECOND = 4.0
# Half-life of the failure rate. It decays so that an instance which may have
# recovered gets requests again.
FAILURE_HALF_LIFE_SECONDS = 2.0
# Costs that differ from the least by no more than this count as equal. Of
# these instances the least recently chosen one is taken. 0.02 equals 5 ms
# of latency or a fiftieth of a slot.
COST_TOLERANCE = 0.02
# Number of records above which the half with the oldest outcomes is dropped.
# Records of ended instances are dropped in no other way.
MAX_RECORDS = 2_000


class LoadReport(typing.Protocol):
    """The load that an instance reported."""

    @property
    def running(self) -> int:
        """Requests in progress."""
        ...

    @property
    def waiting(self) -> int:
        """Requests in its queue."""
        ...


@attrs.define
class _Record:
    """What is known about one instance. Times are loop times.

    :ivar failure_rate: moving average of the share of failed calls.
    :ivar outcome_at: when a call was last answered or failed.
    :ivar load: requests in progress and waiting, as last reported.
    :ivar pick_number: number of the last pick that chose it, 0 if none did.
    """

    mean_latency_seconds: float = 0.0
    failure_rate: float = 0.0
    outcome_at: float = 0.0
    load: float = 0.0
    load_reported_at: float = -1e9
    pick_number: int = 0


class Balancer:
    """Prefers instances that are near, idle, fast and reliable."""

    def __init__(self, usage: usages.InFlight, zone: str) -> None:
        self._usage = usage
        self._zone = zone
        self._records: dict[str, _Record] = {}
        self._pick_count = 0

    def pick(
        self, upstreams: typing.Iterable[chain.Upstream]
    ) -> chain.Upstream | None:
        """Return an instance of about the least cost, if there is any."""
        costs = [(self._cost(upstream), upstream) for upstream in upstreams]
        if not costs:
            return None
        threshold = min(cost for cost, _ in costs) + COST_TOLERANCE
        chosen = min(
            (upstream for cost, upstream in costs if cost <= threshold),
            key=lambda upstream: self._record(upstream).pick_number,
        )
        self._pick_count += 1
        self._record(chosen).pick_number = self._pick_count
        if len(self._records) > MAX_RECORDS:
            self._drop_oldest()
        return chosen

    def _drop_oldest(self) -> None:
        """Drop the half of the records with the oldest outcomes."""
        by_age = sorted(
            self._records.items(), key=lambda item: item[1].outcome_at
        )
        for name, _ in by_age[: MAX_RECORDS // 2]:
            del self._records[name]

    def note_load(self, upstream: chain.Upstream, load: LoadReport) -> None:
        """Record the load that an instance reported."""
        record = self._record(upstream)
        record.load = float(load.running + load.waiting)
        record.load_reported_at = anyio.current_time()

    def note_answer(
        self,
        upstream: chain.Upstream,
        latency_seconds: float,
        has_failed: bool,
    ) -> None:
        """Record the latency of an answer and whether it was a failure."""
        record = self._record(upstream)
        record.mean_latency_seconds += EWMA_WEIGHT * (
            latency_seconds - record.mean_latency_seconds
        )
        self._add_outcome(record, 1.0 if has_failed else 0.0)

    def note_failure(self, upstream: chain.Upstream) -> None:
        """Record that an instance gave no usable answer."""
        self._add_outcome(self._record(upstream), 1.0)

    def _add_outcome(self, record: _Record, failure: float) -> None:
        """Add a call's outcome to the failure rate.

        :param failure: 1 if the call failed, else 0.
        """
        failure_rate = self._failure_rate(record)
        record.failure_rate = failure_rate + EWMA_WEIGHT * (
            failure - failure_rate
        )
        record.outcome_at = anyio.current_time()

    def _record(self, upstream: chain.Upstream) -> _Record:
        return self._records.setdefault(upstream.name, _Record())

    def _failure_rate(self, record: _Record) -> float:
        age_seconds = anyio.current_time() - record.outcome_at
        return float(
            record.failure_rate
            * 0.5 ** (age_seconds / FAILURE_HALF_LIFE_SECONDS)
        )

    def _cost(self, upstream: chain.Upstream) -> float:
        """Return the cost of an instance, in requests per slot."""
        record = self._record(upstream)
        age_seconds = anyio.current_time() - record.load_reported_at
        reported_load = record.load * max(
            0.0, 1.0 - age_seconds / LOAD_REPORT_TTL_SECONDS
        )
        own_requests = self._usage.own_requests(upstream)
        cost = max(own_requests, reported_load) / max(1, upstream.slots)
        cost += FAILURE_COST * self._failure_rate(record)
        cost += LATENCY_COST_PER_SECOND * record.mean_latency_seconds
        if upstream.availability_zone != self._zone:
            cost += CROSS_ZONE_COST
        return cost
