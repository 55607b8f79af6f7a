# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""State shared by the parts of the relay."""

import collections
import heapq
import random
import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck import errors
from crowdeck.membership import roster as rosters
from crowdeck.membership import upstreams as registries
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.quarantine import fingerprint
from crowdeck.quarantine import tracker as trackers
from crowdeck.relay import backpressure_monitor
from crowdeck.relay import gaps as layer_gaps
from crowdeck.relay import interfaces
from crowdeck.relay import loop_lag
from crowdeck.relay import request as requests
from crowdeck.relay import retry_advice
from crowdeck.relay import waiting
from crowdeck.routing import budget as budgets
from crowdeck.routing import heads
from crowdeck.routing import hops
from crowdeck.routing import rate_limits
from crowdeck.routing import subset as subsets
from crowdeck.routing import usage as usages

if typing.TYPE_CHECKING:
    # Entries of fleets that rank no streams must not load this module.
    from crowdeck.relay import ranked_service


# Restarting a stream spends the retry budget. This share of it is reserved
# for requests that cannot be served in any other way. It is a share because a
# fixed number, such as ten, may exceed all that one of 29 entries may send.
RESTART_RESERVE_SHARE = 0.3
# Connection timeout while the event loop is on time. Far above the half
# millisecond that a connection takes, and a small part of what is left of an
# objective of 0.5 s.
CONNECT_SECONDS = 0.25
# A connection takes two iterations of the event loop, and each may be late.
LAG_FACTOR = 2.0
# Lost engines that an entry tells others; those found last.
MAX_LOST_ENGINES_TOLD = 30


@attrs.frozen
class RetryBudgetSettings:
    """The operator's settings of the retry budget.

    :ivar ratio: retries that each request earns.
    :ivar slack: further retries that all entries together may send in a
        window.
    :ivar window_seconds: length of the sliding window.
    """

    ratio: float
    slack: float
    window_seconds: float


@attrs.define(eq=False)
class RelayContext:
    """What one entry knows of upstreams, and the client to reach them.

    :ivar zone: the entry's availability zone.
    :ivar started_at: loop time at which the process was started.
    :ivar name: the entry's name.
    :ivar membership: the entries that share limits and budgets with it.
    :ivar lag_meter: measures the lag of the entry's event loop.
    :ivar fleet_load: what other entries hold on engines.
    :ivar is_link_full: returns whether answers may wait behind other bytes, so
        that silence shows nothing.
    :ivar held_back: returns the names of engines that new paths pass only if
        there is no other path.
    :ivar quarantine: requests that were running when instances ended.
    """

    zone: str
    registry: registries.UpstreamRegistry
    client: interfaces.Upstreams
    usage: usages.InFlight
    planner: hops.HopPlanner
    budget_settings: RetryBudgetSettings
    started_at: float = float("-inf")
    name: str = ""
    membership: budgets.Membership = budgets.FixedMembership()
    lag_meter: loop_lag.LoopLagMeter = attrs.field(
        factory=loop_lag.LoopLagMeter
    )
    rng: random.Random = attrs.field(factory=random.Random)
    quarantine: trackers.QuarantineTracker = attrs.field(
        factory=trackers.QuarantineTracker
    )
    fleet_load: usages.FleetLoad = usages.UnknownFleetLoad()
    is_link_full: typing.Callable[[], bool] = lambda: False
    held_back: typing.Callable[[], frozenset[str]] = frozenset
    limits: rate_limits.RateLimits = attrs.field(init=False)
    retry_advisor: retry_advice.RetryAdvisor = attrs.field(init=False)
    gaps: layer_gaps.LayerGapTracker = attrs.field(init=False)
    backpressure: backpressure_monitor.BackpressureMonitor = attrs.field(
        init=False
    )
    subset: subsets.EngineSubset = attrs.field(init=False)
    _budgets: dict[str, budgets.SharedRetryBudget] = attrs.field(factory=dict)
    _wait_queues: dict[str, waiting.WaitQueue] = attrs.field(factory=dict)
    _ranked_parts: "ranked_service.RankedParts | None" = attrs.field(
        default=None, init=False
    )

    def __attrs_post_init__(self) -> None:
        self.retry_advisor = retry_advice.RetryAdvisor(self.rng)
        self.gaps = layer_gaps.LayerGapTracker(self.registry)
        self.subset = subsets.EngineSubset(self.name, self.zone)
        self.limits = rate_limits.RateLimits(self.usage, self.rng)
        self.backpressure = backpressure_monitor.BackpressureMonitor(
            self.registry, self.limits
        )
        self.registry.subscribe_ends(self.note_instance_ended)
        self.client.subscribe(self._apply_notice)

    @property
    def connect_seconds(self) -> float:
        """Connection timeout in seconds, longer while the event loop lags.

        A fixed timeout would make an overloaded entry treat healthy engines
        as lost, and open further connections each time.
        """
        return CONNECT_SECONDS + LAG_FACTOR * self.lag_meter.recent_lag()

    @property
    def heads(self) -> heads.HeadRecords:
        """Records of how first engines served this entry's streams."""
        return self.planner.heads

    def budget(self, service: str) -> budgets.SharedRetryBudget:
        """Return this entry's share of a service's retry budget."""
        budget = self._budgets.get(service)
        if budget is None:
            settings = self.budget_settings
            budget = budgets.SharedRetryBudget(
                settings.ratio,
                settings.slack,
                settings.window_seconds,
                self.started_at,
                self.membership,
            )
            self._budgets[service] = budget
        return budget

    def log_retry(self, service: str, request: str) -> None:
        """Log that the retry budget allows a request to be sent again."""
        self._log_retry_decision("repeat_allowed", service, request)

    def log_retry_refused(self, service: str, request: str) -> None:
        """Log that the retry budget does not allow another send."""
        counters.COUNTERS.add("relay.unrepeated")
        self._log_retry_decision("repeat_refused", service, request)

    def _log_retry_decision(
        self, kind: str, service: str, request: str
    ) -> None:
        """Log a retry decision with the state of the budget.

        Each entry logs its own share, so that the total can be computed from
        the logs of all entries.
        """
        budget = self.budget(service)
        counters.COUNTERS.set_gauge(
            f"relay.budget.{service}", budget.remaining
        )
        logs.decision(
            kind,
            request,
            service=service,
            left=round(budget.remaining, 2),
            requests=budget.requests,
            entries=self.membership.entry_count,
            running=round(anyio.current_time() - self.started_at, 3),
        )

    def note_instance_ended(self, upstream: chain.Upstream) -> None:
        """Note that an instance has ended.

        If it was leaving, its end does not count against its requests.
        """
        self.limits.forget(upstream)
        if upstream.is_leaving:
            self.quarantine.forget(upstream.name)
        else:
            self.quarantine.note_end(upstream.name)

    def quarantine_error(
        self,
        request: requests.CallerRequest,
        content: fingerprint.RequestContent,
        *,
        may_have_run: bool,
    ) -> errors.CrowdeckError:
        """Log why a request is quarantined, and return its error."""
        culprit = self.quarantine.find_culprit(content)
        if culprit is not None:
            logs.decision(
                "refused_as_quarantined",
                request.id,
                content=str(content),
                parts=requests.parts_among(request, culprit.fingerprints),
                ends=len(culprit.ends),
            )
        return self.quarantine.refusal_error(content, may_have_run)

    def _apply_notice(
        self, upstream: chain.Upstream, notice: interfaces.Notice
    ) -> None:
        """Apply the backpressure and load that an answer reports."""
        signals = notice.backpressure
        if signals.backoff_seconds:
            self.registry.back_off(upstream.name, signals.backoff_seconds)
        if signals.is_leaving:
            self.registry.note_leaving(upstream.name)
        load = notice.load
        self.limits.note_limit(
            upstream,
            signals.requests_per_second,
            None if load is None else load.running + load.waiting,
            in_report=not notice.answers_request,
        )

    def seconds_until_any_accepts(
        self, upstreams: typing.Iterable[chain.Upstream], ahead: int = 0
    ) -> float:
        """Return the seconds until any of the instances accepts a request.

        Computed from their rate limits and backoffs; 0 if an instance
        accepts a request now, or if there are no instances.

        :param ahead: number of requests that are sent before this one.
        """
        instances = list(upstreams)
        waits = [
            (
                self._seconds_until_accepted(upstream),
                1.0 / self.limits.per_second(upstream),
            )
            for upstream in instances
        ]
        if not min(waits, default=(0.0, 0.0))[0]:
            return 0.0
        heapq.heapify(waits)
        # Each request ahead goes to the instance that accepts one first.
        for _ in range(ahead):
            wait_seconds, interval_seconds = waits[0]
            heapq.heapreplace(
                waits, (wait_seconds + interval_seconds, interval_seconds)
            )
        return waits[0][0]

    def _seconds_until_accepted(self, upstream: chain.Upstream) -> float:
        return max(
            self.limits.seconds_until_allowed(upstream),
            self.registry.backoff_seconds_left(upstream.name),
        )

    def wait_queue(self, service: str) -> waiting.WaitQueue:
        """Return the queue of requests that wait for a service.

        Those of a service with requests of different urgency are in a queue
        of :meth:`ranked_parts`.
        """
        return self._wait_queues.setdefault(service, waiting.WaitQueue())

    def ranked_parts(self) -> "ranked_service.RankedParts":
        """Return what decides about ranked streams, created on first use."""
        if self._ranked_parts is None:
            # Most fleets rank no streams; their entries start faster without
            # these modules.
            from crowdeck.relay import ranked_service

            self._ranked_parts = ranked_service.RankedParts(self)
        return self._ranked_parts

    def waiting_by_rank(self) -> dict[tuple[str, int], int]:
        """Return how many requests wait here, by service and rank."""
        counts = collections.Counter(
            {
                (service, 0): len(wait_queue)
                for service, wait_queue in self._wait_queues.items()
            }
        )
        if self._ranked_parts is not None:
            counts += self._ranked_parts.waiting_by_rank()
        return dict(+counts)

    def own_load(self) -> usages.EntryLoad:
        """Return what this entry has in progress."""
        load = self.usage.own_load(
            self.heads.recent_first_events(), self.waiting_by_rank()
        )
        found_lost = self.registry.found_lost()[:MAX_LOST_ENGINES_TOLD]
        return attrs.evolve(load, lost_engines=dict.fromkeys(found_lost, 1))

    def use_fleet_load(self, fleet_load: usages.FleetLoad) -> None:
        """Take what other entries hold from ``fleet_load``."""
        self.fleet_load = fleet_load
        self.usage.set_fleet_load(fleet_load)

    def may_restart_stream(self, service: str) -> bool:
        """Whether the budget allows a stream to restart elsewhere."""
        return self.budget(service).remaining_share >= RESTART_RESERVE_SHARE

    def use_roster(self, roster: rosters.Roster) -> None:
        """Share limits and budgets with the entries of a roster.

        Call it before the first budget is used.
        """
        assert not self._budgets, "budgets are in use already"

        def apply_entry_counts() -> None:
            self.usage.set_entry_count(roster.zone_count, roster.entry_count)
            self.limits.set_entry_count(roster.entry_count)

        self.membership = roster
        roster.subscribe(apply_entry_counts)
        apply_entry_counts()
