# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Orders engines to hold the planned layers, from one entry at a time."""

import enum
import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck import errors
from crowdeck.membership import upstreams as registries
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck import pipeline
from crowdeck.placement import failure_detector
from crowdeck.placement import plan
from crowdeck.placement import rearrangement
from crowdeck.placement import rearrangement_delay
from crowdeck.placement import relayout
from crowdeck import route as routes
from crowdeck.state import leases

# The plan is checked this often without any notification, because a lost
# engine or order is only detected after some time.
RECONCILE_INTERVAL_SECONDS = 0.5
# An engine reports its new layers with its next heartbeat. Until then its
# order counts as outstanding.
ORDER_SETTLE_SECONDS = 2.5
# The first plan of a service waits until no engine was added for the quiet
# time, or for the maximum in total. A starting fleet lists its engines one by
# one, and a plan for the first few would not suit all of them.
LIST_QUIET_SECONDS = 1.2
LIST_MAX_SECONDS = 5.0
# A new engine waits this long for layers while all layers are held. In a
# planned replacement the old engine leaves soon after, and the new one can
# load its layers directly.
EMPTY_ENGINE_DELAY_SECONDS = 2.0
# An engine whose order is not confirmed is asked again after this time, at the
# earliest. The order may still arrive much later.
RECHECK_SECONDS = 0.6
# An unanswered order is in doubt for this long, or until the engine has
# accepted a newer one. Until then no other engine gives up a layer that this
# one holds.
LATE_ORDER_SECONDS = 12.5
# More orders at once could time out because this process is too busy to handle
# their answers.
MAX_CONCURRENT_ORDERS = 32
# Pause between two parts of a plan, enough for a call of the store.
YIELD_SECONDS = 0.005


class OrderClient(typing.Protocol):
    """Sends placement orders to engines."""

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        """Return an engine's report."""
        ...

    async def place(
        self, move: plan.Move, expected_orders: int, fencing_token: int
    ) -> bool:
        """Send an order and return whether the engine accepted it.

        :raises CrowdeckError: if the outcome is unknown.
        """
        ...


class _Outcome(enum.Enum):
    """Result of an attempt to send an order."""

    NOT_SENT = "not sent"
    SENT = "sent"
    TAKEN = "taken"


@attrs.define(eq=False)
class _Pending:
    """An engine with an outstanding order.

    :ivar expected: the engine with the layers that it will hold.
    :ivar until: event loop time at which it may be ordered again.
    """

    expected: chain.Upstream
    until: float


@attrs.frozen
class _InDoubtOrder:
    """An order that an engine may still accept.

    :ivar expected: the count of accepted orders that the order requires.
    :ivar until: event loop time after which it cannot arrive any more.
    """

    expected: int
    until: float


@attrs.define
class _Arrivals:
    """When the engines of a service were first listed and last added to."""

    names: frozenset[str]
    first_at: float
    last_at: float


class PlacementController:
    """Reconciles the layers of all engines while it holds the lease."""

    def __init__(
        self,
        lease: leases.Lease,
        registry: registries.UpstreamRegistry,
        orders: OrderClient,
        services: typing.Callable[[], tuple[routes.Service, ...]],
    ) -> None:
        self._lease = lease
        self._registry = registry
        self._orders = orders
        self._services = services
        self._pending: dict[str, _Pending] = {}
        self._in_doubt: dict[str, _InDoubtOrder] = {}
        self._adopted_term = 0
        self._failure_detector = failure_detector.FailureDetector(
            registry, orders, services
        )
        self._arrivals: dict[str, _Arrivals] = {}
        self._empty_since: dict[str, dict[str, float]] = {}
        self._delays: dict[str, rearrangement_delay.RearrangementDelay] = {}
        self._changed = anyio.Event()
        registry.subscribe(self._notify)

    async def run(self) -> None:
        """Reconcile on every change and regularly, until cancelled."""
        while True:
            self._changed = anyio.Event()
            if self._lease.is_held:
                await self._reconcile()
            with anyio.move_on_after(self._seconds_to_next()):
                await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()

    def _seconds_to_next(self) -> float:
        """Return the seconds until the next reconciliation."""
        now = anyio.current_time()
        due = (one.due - now for one in self._delays.values())
        return min(
            [RECONCILE_INTERVAL_SECONDS, *(left for left in due if left > 0.0)]
        )

    async def _reconcile(self) -> None:
        self._adopt_in_doubt()
        self._forget_pending()
        await self._failure_detector.check()
        for service in self._services():
            if service.profile is None:
                continue
            engines = chain.engines_within(
                self._live_engines(service), service.profile.layer_count
            )
            if not self._is_listing_settled(service.name, engines):
                continue
            await self._order_planned(service, service.profile, engines)
            await self._rearrange(service, service.profile)

    async def _order_planned(
        self,
        service: routes.Service,
        profile: chain.EngineProfile,
        engines: list[chain.Upstream],
    ) -> None:
        """Send the orders of the plan in batches.

        Other tasks run between batches. In particular the lease has to be
        renewed while a large fleet is planned.
        """
        guaranteed = [self._guaranteed(one) for one in engines]
        batches = plan.iter_moves(engines, profile, self._is_idle, guaranteed)
        gaps = plan.CoverageGaps(engines, profile)
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_ORDERS)
        async with anyio.create_task_group() as tasks:
            for batch in batches:
                moves = self._delay_empty_engines(
                    service, engines, batch, gaps
                )
                for move in moves:
                    self._expect(move, RECHECK_SECONDS)
                    tasks.start_soon(self._order_limited, move, limiter)
                # Planning a batch took time even if all its moves are delayed.
                await anyio.sleep(YIELD_SECONDS if batch else 0.0)
                if not self._lease.is_held:
                    return

    async def _rearrange(
        self, service: routes.Service, profile: chain.EngineProfile
    ) -> None:
        """Rearrange engines if the plan leaves layers unheld.

        Its orders have been sent before and count as carried out here.
        """
        engines = chain.engines_within(
            self._live_engines(service), profile.layer_count
        )
        missing = rearrangement.missing_layers(engines, profile)
        delay = self._delays.setdefault(
            service.name, rearrangement_delay.RearrangementDelay()
        )
        now = anyio.current_time()
        if not missing or len(missing) == profile.layer_count:
            delay.reset()
            return
        is_announced = self._are_leaving(service.name, missing)
        if (
            not delay.is_expired(now, is_announced, missing)
            or not self._lease.is_held
        ):
            return
        guaranteed = [self._guaranteed(one) for one in engines]
        parts = rearrangement.find_steps(
            engines,
            profile,
            self._can_be_ordered,
            guaranteed,
            not is_announced,
        )
        steps = await _run_in_parts(parts)
        if steps and await self._order_rearrangement(steps):
            delay.note_rearrangement(anyio.current_time())
            logs.change(
                "layers_rearranged",
                service=service.name,
                missing=len(missing),
                engines=len(steps),
                term=self._lease.term,
                is_told=is_announced,
            )

    def _are_leaving(self, service: str, missing: list[int]) -> bool:
        """Whether leaving engines hold all of the missing layers."""
        left = set(missing)
        for one in self._registry.listed(service):
            if one.is_leaving and one.layers is not None:
                left -= set(range(one.layers.first, one.layers.end))
        return not left

    def _can_be_ordered(self, upstream: chain.Upstream) -> bool:
        backoff_seconds = self._registry.backoff_seconds_left(upstream.name)
        return self._is_idle(upstream) and not backoff_seconds

    async def _order_rearrangement(
        self, steps: list[rearrangement.Step]
    ) -> bool:
        """Send the orders of a rearrangement and return whether any was sent.

        Each order waits until the engines of its step's ``after`` accepted
        theirs.
        """
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_ORDERS)
        done_events = {
            step.move.upstream.name: anyio.Event() for step in steps
        }
        accepted: set[str] = set()
        sent: set[str] = set()

        async def send(step: rearrangement.Step) -> None:
            name = step.move.upstream.name
            try:
                for other in step.after:
                    await done_events[other].wait()
                if not step.after <= accepted:
                    # The next reconciliation plans again.
                    return
                outcome = await self._order_limited(step.move, limiter)
                if outcome is not _Outcome.NOT_SENT:
                    sent.add(name)
                if outcome is _Outcome.TAKEN:
                    accepted.add(name)
            finally:
                done_events[name].set()

        async with anyio.create_task_group() as tasks:
            for step in steps:
                tasks.start_soon(send, step)
        return bool(sent)

    def _is_listing_settled(
        self, service: str, engines: list[chain.Upstream]
    ) -> bool:
        """Whether the engines of a service can be planned.

        This holds once an engine has layers, or once no engine was added for
        a while.
        """
        now = anyio.current_time()
        listed = frozenset(one.name for one in engines)
        seen = self._arrivals.get(service)
        if seen is None:
            seen = self._arrivals[service] = _Arrivals(listed, now, now)
        elif not listed <= seen.names:
            seen.names, seen.last_at = listed, now
        if any(one.layers is not None for one in engines):
            return True
        return (
            now - seen.last_at >= LIST_QUIET_SECONDS
            or now - seen.first_at >= LIST_MAX_SECONDS
        )

    def _delay_empty_engines(
        self,
        service: routes.Service,
        engines: list[chain.Upstream],
        moves: list[plan.Move],
        gaps: plan.CoverageGaps,
    ) -> list[plan.Move]:
        """Leave out moves of empty engines that should wait.

        Engines that fill a gap do not wait, nor do any if all are empty.
        """
        now = anyio.current_time()
        empty = {one.name for one in engines if one.layers is None}
        known = self._empty_since.get(service.name, {})
        since = {name: known.get(name, now) for name in empty}
        self._empty_since[service.name] = since
        if len(empty) == len(engines):
            return moves
        return [
            move
            for move in moves
            if move.upstream.layers is not None
            or now - since[move.upstream.name] >= EMPTY_ENGINE_DELAY_SECONDS
            or gaps.is_filled_by(move)
        ]

    def _live_engines(self, service: routes.Service) -> list[chain.Upstream]:
        """Return the live engines with the layers that they will hold."""
        found = []
        for one in self._registry.listed(service.name):
            if one.is_leaving or self._failure_detector.is_lost(one.name):
                continue
            pending = self._pending.get(one.name)
            found.append(pending.expected if pending else one)
        return found

    def _guaranteed(self, expected: chain.Upstream) -> chain.Upstream:
        """Return an engine with the layers that it is guaranteed to keep."""
        name = expected.name
        if name in self._in_doubt:
            return attrs.evolve(expected, layers=None)
        listed = self._registry.find(name)
        held = listed.layers if listed is not None else None
        return attrs.evolve(
            expected, layers=_intersection(held, expected.layers)
        )

    def _adopt_in_doubt(self) -> None:
        """Take over the previous holder's orders in doubt, once per term."""
        if self._lease.term == self._adopted_term:
            return
        self._adopted_term = self._lease.term
        until = anyio.current_time() + LATE_ORDER_SECONDS
        for note in self._lease.memo:
            name, _, count = note.rpartition("@")
            if name and name not in self._in_doubt:
                self._in_doubt[name] = _InDoubtOrder(int(count), until)

    def _store_in_doubt(self) -> None:
        self._lease.set_memo(
            tuple(
                f"{name}@{order.expected}"
                for name, order in sorted(self._in_doubt.items())
            )
        )

    def _is_idle(self, upstream: chain.Upstream) -> bool:
        return upstream.name not in self._pending

    def _forget_pending(self) -> None:
        now = anyio.current_time()
        for name, pending in list(self._pending.items()):
            listed = self._registry.find(name)
            is_done = (
                listed is None or listed.layers == pending.expected.layers
            )
            if is_done or pending.until <= now:
                del self._pending[name]
        expired = [n for n, one in self._in_doubt.items() if one.until <= now]
        for name in expired:
            del self._in_doubt[name]
        if expired:
            self._store_in_doubt()

    async def _order_limited(
        self, move: plan.Move, limiter: anyio.CapacityLimiter
    ) -> "_Outcome":
        async with limiter:
            if self._lease.is_held:
                return await self._order(move)
        return _Outcome.NOT_SENT

    async def _order(self, move: plan.Move) -> "_Outcome":
        name = move.upstream.name
        if self._registry.backoff_seconds_left(name):
            # Planned again by the next reconciliation.
            return _Outcome.NOT_SENT
        self._expect(move, RECHECK_SECONDS)
        try:
            report = await self._orders.report(move.upstream)
        except errors.CrowdeckError as error:
            self._registry.avoid(name, f"no report: {error.message}")
            return _Outcome.NOT_SENT
        if report.is_busy or report.layers != move.upstream.layers:
            # It is carrying out another order, or its listing is outdated.
            # Plan again from its report.
            self._expect_reported(move.upstream, report)
            return _Outcome.NOT_SENT
        if not self._lease.is_held:
            return _Outcome.NOT_SENT
        self._resolve_in_doubt(name, report.orders_taken)
        is_taken = False
        try:
            is_taken = await self._orders.place(
                move, report.orders_taken, self._lease.term
            )
        except errors.CrowdeckError as error:
            self._mark_in_doubt(name, report.orders_taken, error.message)
        if is_taken:
            self._resolve_in_doubt(name, report.orders_taken + 1)
        self._expect(
            move, ORDER_SETTLE_SECONDS if is_taken else RECHECK_SECONDS
        )
        counters.COUNTERS.add("placement.ordered")
        logs.change(
            "placement_ordered",
            upstream=name,
            address=str(move.upstream.address),
            layers=f"{move.layers.first}-{move.layers.end}",
            orders_taken=report.orders_taken,
            term=self._lease.term,
            is_urgent=move.is_urgent,
            is_taken=is_taken,
        )
        return _Outcome.TAKEN if is_taken else _Outcome.SENT

    def _mark_in_doubt(self, name: str, expected: int, reason: str) -> None:
        until = anyio.current_time() + LATE_ORDER_SECONDS
        self._in_doubt[name] = _InDoubtOrder(expected, until)
        self._store_in_doubt()
        logs.change(
            "order_in_doubt",
            upstream=name,
            orders_taken=expected,
            term=self._lease.term,
            reason=reason,
        )

    def _resolve_in_doubt(self, name: str, orders_taken: int) -> None:
        """Forget an order in doubt once the engine accepted a newer one."""
        order = self._in_doubt.get(name)
        if order is not None and orders_taken > order.expected:
            del self._in_doubt[name]
            self._store_in_doubt()

    def _expect(self, move: plan.Move, seconds: float) -> None:
        self._pending[move.upstream.name] = _Pending(
            attrs.evolve(move.upstream, layers=move.layers),
            anyio.current_time() + seconds,
        )

    def _expect_reported(
        self, upstream: chain.Upstream, report: chain.EngineReport
    ) -> None:
        self._pending[upstream.name] = _Pending(
            attrs.evolve(upstream, layers=report.layers or upstream.layers),
            anyio.current_time() + RECHECK_SECONDS,
        )


async def _run_in_parts(
    parts: relayout.Parts[list[rearrangement.Step]],
) -> list[rearrangement.Step]:
    """Run a computation and let other tasks run between its parts."""
    while True:
        try:
            next(parts)
        except StopIteration as done:
            return typing.cast(list[rearrangement.Step], done.value)
        await anyio.sleep(YIELD_SECONDS)


def _intersection(
    one: pipeline.LayerRange | None, other: pipeline.LayerRange | None
) -> pipeline.LayerRange | None:
    """Return the layers that are in both ranges."""
    if one is None or other is None:
        return None
    first, end = max(one.first, other.first), min(one.end, other.end)
    return pipeline.LayerRange(first, end) if first < end else None
