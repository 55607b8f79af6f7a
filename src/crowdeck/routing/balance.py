# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Choice among the instances of a plain service."""

import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck.routing import usage as usages

# What an instance said of its load counts less the older it is: calls
# take some tens of milliseconds, so after this long it says little.
LOAD_SECONDS = 0.5
# Weight of the newest answer in the averages of time and failure.
NEWEST = 0.2
# An instance in another zone is a little farther, and its bytes cost.
FOREIGN_COST = 0.3
# An instance that fails every call is worth as much as one with so many
# more calls under way for each slot.
FAILURE_COST = 3.0
# A slow instance counts as fuller: a second counts like so many slots.
SECOND_COST = 4.0
# Failures are forgotten at this rate, so that an instance which got well
# is tried again: halved in this many seconds.
FORGET_SECONDS = 2.0
# Costs that differ by less say nothing: 5 ms of an answer's time, a fiftieth
# of a slot. Who of such instances waited longest for a call gets it.
EVEN_COST = 0.02
# Records kept at most; instances that were replaced leave theirs behind.
MAX_RECORDS = 2_000


class LoadReport(typing.Protocol):
    """What an instance said of its load."""

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
    seconds: float = 0.0
    failure: float = 0.0
    noted_at: float = 0.0
    load: float = 0.0
    load_at: float = -1e9
    turn: int = 0


class Balancer:
    """Prefers instances that are near, free, fast and sound."""

    def __init__(self, usage: usages.InFlight, zone: str) -> None:
        self._usage = usage
        self._zone = zone
        self._records: dict[str, _Record] = {}
        self._turns = 0

    def pick(
        self, upstreams: typing.Iterable[chain.Upstream]
    ) -> chain.Upstream | None:
        """Return the best instance, or ``None`` where there is none."""
        costs = [(self._cost(one), one) for one in upstreams]
        if not costs:
            return None
        most = min(cost for cost, _ in costs) + EVEN_COST
        found = min(
            (one for cost, one in costs if cost <= most),
            key=lambda one: self._record(one).turn,
        )
        self._turns += 1
        self._record(found).turn = self._turns
        if len(self._records) > MAX_RECORDS:
            self._forget()
        return found

    def _forget(self) -> None:
        """Drop the records that were not added to for longest."""
        by_age = sorted(self._records.items(), key=lambda it: it[1].noted_at)
        for name, _ in by_age[: MAX_RECORDS // 2]:
            del self._records[name]

    def note_load(self, upstream: chain.Upstream, load: LoadReport) -> None:
        """Take what an instance told of its load."""
        record = self._record(upstream)
        record.load = float(load.running + load.waiting)
        record.load_at = anyio.current_time()

    def note_answer(
        self, upstream: chain.Upstream, seconds: float, has_failed: bool
    ) -> None:
        """Take how an instance answered."""
        record = self._record(upstream)
        record.seconds += NEWEST * (seconds - record.seconds)
        self._fail(record, 1.0 if has_failed else 0.0)

    def note_failure(self, upstream: chain.Upstream) -> None:
        """Take that an instance gave no usable answer."""
        self._fail(self._record(upstream), 1.0)

    def _fail(self, record: _Record, value: float) -> None:
        failure = self._failure(record)
        record.failure = failure + NEWEST * (value - failure)
        record.noted_at = anyio.current_time()

    def _record(self, upstream: chain.Upstream) -> _Record:
        return self._records.setdefault(upstream.name, _Record())

    def _failure(self, record: _Record) -> float:
        age = anyio.current_time() - record.noted_at
        return float(record.failure * 0.5 ** (age / FORGET_SECONDS))

    def _cost(self, upstream: chain.Upstream) -> float:
        record = self._record(upstream)
        age = anyio.current_time() - record.load_at
        told = record.load * max(0.0, 1.0 - age / LOAD_SECONDS)
        own_requests = self._usage.own_requests(upstream)
        cost = max(own_requests, told) / max(1, upstream.slots)
        cost += FAILURE_COST * self._failure(record)
        cost += SECOND_COST * record.seconds
        if upstream.availability_zone != self._zone:
            cost += FOREIGN_COST
        return cost
