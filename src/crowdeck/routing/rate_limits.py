# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Limits that instances name, in requests a second from all entries."""

import math
import random
import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck.observe import logs

# All entries together send an instance so much of what it takes. The rest is
# for what entries do not know of one another at any moment.
USED_SHARE = 0.85
# At the least all entries together send so many a second: whoever sends
# nothing never learns that a limit was lifted.
LEAST_PER_SECOND = 0.25
# An entry that sent nothing for long catches up on so much of it. With all
# of it, many entries with a request each at one moment would send together
# what they had left out for a minute.
GATHER_SECONDS = 4.0
# All entries together may send what an instance takes in so many seconds,
# and so many requests besides, at one moment.
BURST_SECONDS = 1.0
BURST_EXTRA = 2.5
# How soon what was seen of the other entries' part counts half as much.
HALF_LIFE_SECONDS = 5.0
# While it is not known how many entries there are: seconds after a start,
# longer only where the store is silent.
UNKNOWN_ENTRIES = 10
# So many requests have to be seen for that to count as much as taking all
# entries for equals: calls are over so soon that most answers show none.
EVEN_REQUESTS = 6.0
# A request, less what is lost in adding up a level in small parts.
READY_LEVEL = 1.0 - 1e-9


class Usage(typing.Protocol):
    """Knows what this entry has under way."""

    def own_requests(self, upstream: chain.Upstream) -> int:
        """Return how many of this entry's requests are at an instance."""
        ...


@attrs.frozen
class LimitView:
    """What an operator wants to know of one instance's limit.

    :ivar since: the loop's time at which it was first named.
    :ivar used: requests a second that this entry sent lately.
    :ivar share: this entry's part of the limit.
    """

    name: str
    per_second: float
    since: float
    used: float
    share: float


@attrs.define(eq=False)
class _Limit:
    """One instance's limit, and this entry's part of it.

    :ivar level: requests that may be sent now; below 1 none.
    :ivar at: when the level was last brought up to date.
    :ivar own: mean number of this entry's requests there.
    :ivar others: sum of the numbers of others' requests that were seen.
    :ivar sights: how many such numbers were, older ones counting less.
    :ivar is_told_in_reports: whether it was named in a report as well.
    :ivar since: when it was first named.
    :ivar sent: requests sent since, older ones counting less.
    """

    per_second: float
    level: float
    at: float
    own_requests: float
    own_at: float
    others: float = 0.0
    sights: float = 0.0
    sighted_at: float = 0.0
    is_told_in_reports: bool = False
    since: float = 0.0
    sent: float = 0.0
    sent_at: float = 0.0


class RateLimits:
    """This entry's parts of the limits that instances name.

    Entries do not ask one another. An instance that tells its load shows
    with each answer how many requests it has of others; an entry takes the
    part of a limit that its own are of all, so that one with most of the
    callers gets most of what the instance takes. Where no load is told, all
    entries take the same part.

    :param usage: knows this entry's requests under way.
    :param rng: where in its turn an entry begins, so that entries which
        learn of a limit together do not send together.
    """

    def __init__(self, usage: Usage, rng: random.Random) -> None:
        self._usage = usage
        self._chance = rng
        self._entries = 1
        self._limits: dict[str, _Limit] = {}

    def set_entry_count(self, entries: int) -> None:
        """Take this entry for one of so many, 0 where that is not known."""
        self._entries = entries or UNKNOWN_ENTRIES

    def note(
        self,
        upstream: chain.Upstream,
        limit: float | None,
        requests: int | None,
        *,
        in_report: bool = False,
    ) -> None:
        """Take what an answer says of its sender's limit.

        :param limit: requests a second, ``None`` where it names none.
        :param requests: how many it has of all entries, if it tells.
        :param in_report: whether it answers no request. Instances may name
            their limits in answers to requests only; so a report without
            one lifts only what a report named.
        """
        held = self._limits.get(upstream.name)
        if limit is None:
            if held is None or (in_report and not held.is_told_in_reports):
                return
            del self._limits[upstream.name]
            _log(upstream, None, held.per_second)
            return
        if held is None:
            held = self._begin(upstream, limit, requests or 0)
            _log(upstream, limit, None)
        elif limit != held.per_second:
            _log(upstream, limit, held.per_second)
            held.per_second = limit
        held.is_told_in_reports |= in_report
        if requests is not None:
            self._see(held, requests - self._usage.own_requests(upstream))

    def forget(self, upstream: chain.Upstream) -> None:
        """Forget an instance that has ended."""
        self._limits.pop(upstream.name, None)

    def allows(self, upstream: chain.Upstream) -> bool:
        """Whether an instance may be sent a request now."""
        limit = self._limits.get(upstream.name)
        if limit is None:
            return True
        self._gather(upstream, limit)
        return limit.level >= READY_LEVEL

    def take(self, upstream: chain.Upstream) -> None:
        """Count a request that is sent to an instance."""
        limit = self._limits.get(upstream.name)
        if limit is not None:
            self._gather(upstream, limit)
            limit.level -= 1.0
            now = anyio.current_time()
            limit.sent = limit.sent * _faded(now - limit.sent_at) + 1.0
            limit.sent_at = now

    def names(self) -> tuple[str, ...]:
        """Return which instances name a limit."""
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
        """Return in how long an instance may be sent one more request."""
        limit = self._limits.get(upstream.name)
        if limit is None or self.allows(upstream):
            return 0.0
        return (1.0 - limit.level) / self._rate(limit)

    def per_second(self, upstream: chain.Upstream) -> float:
        """Return this entry's part of a limit, infinite without one."""
        limit = self._limits.get(upstream.name)
        return float("inf") if limit is None else self._rate(limit)

    def _begin(
        self, upstream: chain.Upstream, per_second: float, requests: int
    ) -> _Limit:
        now = anyio.current_time()
        # Without the one that is answered: seen at such a moment, the mean
        # of those who have few requests would come out too high. Of many
        # entries with few each most have no other, and still a part.
        own_requests = max(
            self._usage.own_requests(upstream) - 1.0, requests / self._entries
        )
        limit = _Limit(
            per_second,
            self._chance.random(),
            now,
            own_requests,
            now,
            since=now,
        )
        self._limits[upstream.name] = limit
        return limit

    def _gather(self, upstream: chain.Upstream, limit: _Limit) -> None:
        """Bring a limit's level, and the mean of our own, up to date."""
        now = anyio.current_time()
        seconds = min(GATHER_SECONDS, now - limit.at)
        limit.at = now
        burst = limit.per_second * BURST_SECONDS + BURST_EXTRA
        most = max(1.0, burst / self._entries)
        limit.level = min(most, limit.level + seconds * self._rate(limit))
        kept = _faded(now - limit.own_at)
        limit.own_at = now
        own_requests = self._usage.own_requests(upstream)
        limit.own_requests = limit.own_requests * kept + own_requests * (
            1.0 - kept
        )

    def _see(self, limit: _Limit, others: int) -> None:
        """Take how many requests of others an instance has."""
        now = anyio.current_time()
        kept = _faded(now - limit.sighted_at)
        limit.sighted_at = now
        limit.others = limit.others * kept + max(0, others)
        limit.sights = limit.sights * kept + 1.0

    def _rate(self, limit: _Limit) -> float:
        allowed = max(LEAST_PER_SECOND, USED_SHARE * limit.per_second)
        return allowed * self._share(limit)

    def _share(self, limit: _Limit) -> float:
        """Return this entry's part of a limit, 0 to 1."""
        # Sights fade: whoever sends little falls back to an even part.
        kept = _faded(anyio.current_time() - limit.sighted_at)
        own_requests = limit.own_requests * limit.sights * kept
        others = limit.others * kept
        even = EVEN_REQUESTS / self._entries
        return (own_requests + even) / (own_requests + others + EVEN_REQUESTS)


def _faded(seconds: float) -> float:
    return float(0.5 ** (seconds / HALF_LIFE_SECONDS))


def _sent_per_second(limit: _Limit) -> float:
    now = anyio.current_time()
    sent = limit.sent * _faded(now - limit.sent_at)
    # What a steady rate adds up to, as old requests fade; for a young limit
    # over the time that it is there.
    spent = 1.0 - _faded(now - limit.since)
    whole = HALF_LIFE_SECONDS / math.log(2.0) * spent
    return sent / max(1.0, whole)


def _log(
    upstream: chain.Upstream, limit: float | None, before: float | None
) -> None:
    logs.change(
        "upstream_limited",
        upstream=upstream.name,
        address=str(upstream.address),
        per_second=limit,
        before=before,
    )
