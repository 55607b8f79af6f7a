# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Rate limits that instances announce, each over all entries together."""

import math
import random
import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck.observe import logs

# Share of a limit that all entries together use. The rest is a margin, as
# entries know each other's requests only with a delay.
USED_SHARE = 0.85
# All entries together may send at least this many requests a second, as an
# instance may announce only in answers that its limit was lifted.
MIN_PER_SECOND = 0.25
# An idle entry accumulates tokens for this long at most, so that many idle
# entries do not all send at once.
MAX_REFILL_SECONDS = 4.0
# Burst of all entries together: the requests that the limit allows in this
# time, plus a fixed number.
BURST_SECONDS = 1.0
BURST_EXTRA_REQUESTS = 2.5
# Half-life of the averages and of the observed requests of other entries.
HALF_LIFE_SECONDS = 5.0
# Assumed while the number of entries is unknown. It is unknown for some
# seconds after a start, and longer only if the store does not answer.
ASSUMED_ENTRIES = 10
# Weight of an even split between entries, in requests. It keeps shares
# stable while answers show few requests in progress.
EVEN_SHARE_WEIGHT = 6.0
# Level from which a request may be sent: one request, less the rounding errors
# of adding small amounts.
READY_LEVEL = 1.0 - 1e-9


class Usage(typing.Protocol):
    """The requests that this entry has in progress."""

    def own_requests(self, upstream: chain.Upstream) -> int:
        """Return the number of this entry's requests at an instance."""
        ...


@attrs.frozen
class LimitView:
    """One instance's limit, for operators.

    :ivar name: name of the instance.
    :ivar per_second: the limit in requests a second, over all entries.
    :ivar since: loop time at which the limit was first announced.
    :ivar used: requests a second that this entry sent recently.
    :ivar share: this entry's share of the limit, 0 to 1.
    """

    name: str
    per_second: float
    since: float
    used: float
    share: float


@attrs.define(eq=False)
class _Limit:
    """One instance's limit, and this entry's token bucket for it.

    Times are loop times.

    :ivar per_second: the limit in requests a second, over all entries.
    :ivar level: requests that this entry may send now.
    :ivar refilled_at: when the level was last updated.
    :ivar own_requests: moving average of this entry's requests in progress
        at the instance.
    :ivar others: decayed sum of the observed numbers of requests that other
        entries had in progress at the instance.
    :ivar observations: decayed number of the observations in ``others``.
    :ivar is_in_reports: whether the limit was also announced in a report.
    :ivar since: when the limit was first announced.
    :ivar sent: decayed number of requests sent since then.
    """

    per_second: float
    level: float
    refilled_at: float
    own_requests: float
    own_updated_at: float
    others: float = 0.0
    observations: float = 0.0
    observed_at: float = 0.0
    is_in_reports: bool = False
    since: float = 0.0
    sent: float = 0.0
    sent_at: float = 0.0


class RateLimits:
    """This entry's shares of the limits that instances announce.

    Entries do not coordinate. The load that an instance reports with each
    answer shows how many requests of other entries it has in progress, and an
    entry's share of the limit is its share of all these requests. Without
    reported load all entries have equal shares.

    :param usage: this entry's requests in progress.
    :param randomness: sets the initial level of a limit, so that entries that
        learn of it at the same time do not all send at once.
    """

    def __init__(self, usage: Usage, randomness: random.Random) -> None:
        self._usage = usage
        self._random = randomness
        self._entries = 1
        self._limits: dict[str, _Limit] = {}

    def set_entry_count(self, entries: int) -> None:
        """Set the number of entries, 0 where it is unknown."""
        self._entries = entries or ASSUMED_ENTRIES

    def note_limit(
        self,
        upstream: chain.Upstream,
        limit: float | None,
        requests: int | None,
        *,
        in_report: bool = False,
    ) -> None:
        """Record the limit that an answer or a report announces.

        :param limit: requests a second, ``None`` for no limit.
        :param requests: requests of all entries that the instance has in
            progress, if it reports them.
        :param in_report: whether it is a report instead of an answer. As
            instances may announce limits in answers only, a report without a
            limit lifts only a limit that a report announced.
        """
        known = self._limits.get(upstream.name)
        if limit is None:
            if known is None or (in_report and not known.is_in_reports):
                return
            del self._limits[upstream.name]
            _log_change(upstream, None, known.per_second)
            return
        if known is None:
            known = self._add(upstream, limit, requests or 0)
            _log_change(upstream, limit, None)
        elif limit != known.per_second:
            _log_change(upstream, limit, known.per_second)
            known.per_second = limit
        known.is_in_reports |= in_report
        if requests is not None:
            self._observe_others(
                known, requests - self._usage.own_requests(upstream)
            )

    def forget(self, upstream: chain.Upstream) -> None:
        """Drop the limit of an instance that has ended."""
        self._limits.pop(upstream.name, None)

    def allows(self, upstream: chain.Upstream) -> bool:
        """Whether an instance may be sent a request now."""
        limit = self._limits.get(upstream.name)
        if limit is None:
            return True
        self._refill(upstream, limit)
        return limit.level >= READY_LEVEL

    def take(self, upstream: chain.Upstream) -> None:
        """Count a request that is sent to an instance."""
        limit = self._limits.get(upstream.name)
        if limit is not None:
            self._refill(upstream, limit)
            limit.level -= 1.0
            now = anyio.current_time()
            limit.sent = limit.sent * _decay(now - limit.sent_at) + 1.0
            limit.sent_at = now

    def names(self) -> tuple[str, ...]:
        """Return the names of instances with a limit."""
        return tuple(self._limits)

    def views(self) -> tuple[LimitView, ...]:
        """Return all limits, for an operator."""
        return tuple(
            LimitView(
                name,
                limit.per_second,
                limit.since,
                _sent_per_second(limit),
                self._share(limit),
            )
            for name, limit in self._limits.items()
        )

    def seconds_until_allowed(self, upstream: chain.Upstream) -> float:
        """Return the seconds until an instance may be sent a request."""
        limit = self._limits.get(upstream.name)
        if limit is None or self.allows(upstream):
            return 0.0
        return (1.0 - limit.level) / self._rate(limit)

    def per_second(self, upstream: chain.Upstream) -> float:
        """Return this entry's rate for an instance, infinite if unlimited."""
        limit = self._limits.get(upstream.name)
        return float("inf") if limit is None else self._rate(limit)

    def _add(
        self, upstream: chain.Upstream, per_second: float, requests: int
    ) -> _Limit:
        now = anyio.current_time()
        # The request being answered does not count, as it would raise the
        # average of an entry with few requests; a report is treated alike. At
        # least an even share of the reported requests is assumed to be this
        # entry's.
        own_requests = max(
            self._usage.own_requests(upstream) - 1.0, requests / self._entries
        )
        limit = _Limit(
            per_second,
            self._random.random(),
            now,
            own_requests,
            now,
            since=now,
        )
        self._limits[upstream.name] = limit
        return limit

    def _refill(self, upstream: chain.Upstream, limit: _Limit) -> None:
        """Refill a limit's bucket and update the average of own requests."""
        now = anyio.current_time()
        seconds = min(MAX_REFILL_SECONDS, now - limit.refilled_at)
        limit.refilled_at = now
        burst = limit.per_second * BURST_SECONDS + BURST_EXTRA_REQUESTS
        capacity = max(1.0, burst / self._entries)
        limit.level = min(capacity, limit.level + seconds * self._rate(limit))
        decay = _decay(now - limit.own_updated_at)
        limit.own_updated_at = now
        own_requests = self._usage.own_requests(upstream)
        limit.own_requests = limit.own_requests * decay + own_requests * (
            1.0 - decay
        )

    def _observe_others(self, limit: _Limit, others: int) -> None:
        """Record how many requests of other entries an instance has."""
        now = anyio.current_time()
        decay = _decay(now - limit.observed_at)
        limit.observed_at = now
        limit.others = limit.others * decay + max(0, others)
        limit.observations = limit.observations * decay + 1.0

    def _rate(self, limit: _Limit) -> float:
        """Return the requests a second that this entry may send."""
        total_per_second = max(MIN_PER_SECOND, USED_SHARE * limit.per_second)
        return total_per_second * self._share(limit)

    def _share(self, limit: _Limit) -> float:
        """Return this entry's share of a limit, 0 to 1."""
        # Observations decay, so that an entry that sends little returns to an
        # even share.
        decay = _decay(anyio.current_time() - limit.observed_at)
        own_requests = limit.own_requests * limit.observations * decay
        others = limit.others * decay
        even_part = EVEN_SHARE_WEIGHT / self._entries
        return (own_requests + even_part) / (
            own_requests + others + EVEN_SHARE_WEIGHT
        )


def _decay(seconds: float) -> float:
    """Return the factor by which a value decays in a time."""
    return float(0.5 ** (seconds / HALF_LIFE_SECONDS))


def _sent_per_second(limit: _Limit) -> float:
    """Return the recent rate at which requests were sent."""
    now = anyio.current_time()
    sent = limit.sent * _decay(now - limit.sent_at)
    # At a constant rate the decayed count approaches the rate times
    # HALF_LIFE_SECONDS / ln 2; under a new limit it has reached only a part of
    # that. The minimum of 1 s keeps the rate finite for a new limit.
    reached_share = 1.0 - _decay(now - limit.since)
    lifetime_seconds = HALF_LIFE_SECONDS / math.log(2.0) * reached_share
    return sent / max(1.0, lifetime_seconds)


def _log_change(
    upstream: chain.Upstream, limit: float | None, old_limit: float | None
) -> None:
    logs.change(
        "upstream_limited",
        upstream=upstream.name,
        address=str(upstream.address),
        per_second=limit,
        before=old_limit,
    )
