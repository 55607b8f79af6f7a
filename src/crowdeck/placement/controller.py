# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Orders engines to hold the planned layers.

Only the entry that holds the lease sends orders.
"""

import enum
import re
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

# Longest interval between reconciliations. The end of a delay or of an order's
# timeout does not change the registry.
RECONCILE_INTERVAL_SECONDS = 0.5
# An engine reports its new layers with its next heartbeat. Until then its
# order counts as outstanding.
ORDER_SETTLE_SECONDS = 2.5
# The first plan of a service waits until no engine was added for
# LIST_QUIET_SECONDS, or for LIST_MAX_SECONDS in total. A starting fleet
# lists its engines one by one, and a plan for the first few would not suit all
# of them. Engines start within about a second of one another and are listed
# within two heartbeats.
LIST_QUIET_SECONDS = 1.2
LIST_MAX_SECONDS = 5.0
# An empty engine waits this long before it gets layers that others hold too.
# In a planned replacement the old engine leaves soon after, and the new one
# can load its layers directly.
EMPTY_ENGINE_DELAY_SECONDS = 2.0
# An engine whose order is not confirmed is asked again after this time, at the
# earliest. The order may still arrive much later.
RECHECK_SECONDS = 0.6
# An unanswered order is in doubt for this long, or until the engine has
# accepted a newer one. Until then the engine may still accept it and give up
# layers, so other engines keep the layers that this engine holds. An order
# whose answer was lost may be carried out up to twelve seconds late.
LATE_ORDER_SECONDS = 12.5
# More orders at once could time out because this process is too busy to handle
# their answers. Each takes some milliseconds of a small entry.
MAX_CONCURRENT_ORDERS = 32
# Pause between two batches of a plan or while a search yields. Lets other
# tasks run, such as the one that renews the lease. About the time of one call
# to the store.
YIELD_SECONDS = 0.005
# A number of orders in the memo of the lease.
_COUNT = re.compile(r"[0-9]{1,18}")


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
    """Result of an attempt to send an order.

    ``UNCONFIRMED`` means that the engine refused the order or did not answer.
    """

    NOT_SENT = "not sent"
    UNCONFIRMED = "unconfirmed"
    ACCEPTED = "accepted"


@attrs.define(eq=False)
class _ExpectedLayers:
    """The layers that are assumed for an engine until its next heartbeat.

    Either an order is outstanding, or its report differs from its record.

    :ivar expected: the engine with the layers that it will hold.
    :ivar until: event loop time at which it may be ordered again.
    """

    expected: chain.Upstream
    until: float


@attrs.frozen
class _InDoubtOrder:
    """An order that an engine may still accept.

    :ivar expected_orders: the engine accepts the order only while it has
        accepted exactly this many orders.
    :ivar until: event loop time after which it cannot arrive any more.
    """

    expected_orders: int
    until: float


@attrs.define
class _ListingTimes:
    """When engines of a service were listed, in event loop time.

    :ivar names_at_last_addition: the engines that were listed when the last
        one was added.
    """

    names_at_last_addition: frozenset[str]
    first_listed_at: float
    last_added_at: float


class PlacementController:
    """Reconciles the layers of all engines while it holds the lease."""

    def __init__(
        self,
        lease: leases.Lease,
        registry: registries.UpstreamRegistry,
        order_client: OrderClient,
        services: typing.Callable[[], tuple[routes.Service, ...]],
    ) -> None:
        self._lease = lease
        self._registry = registry
        self._order_client = order_client
        self._services = services
        self._expected_layers: dict[str, _ExpectedLayers] = {}
        self._in_doubt: dict[str, _InDoubtOrder] = {}
        self._adopted_term = 0
        self._failure_detector = failure_detector.FailureDetector(
            registry, order_client, services
        )
        self._listing_times: dict[str, _ListingTimes] = {}
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
        due = (delay.due - now for delay in self._delays.values())
        return min(
            [
                RECONCILE_INTERVAL_SECONDS,
                *(seconds for seconds in due if seconds > 0.0),
            ]
        )

    async def _reconcile(self) -> None:
        self._adopt_in_doubt()
        self._drop_finished_orders()
        await self._failure_detector.check()
        for service in self._services():
            if service.profile is None:
                continue
            engines = self._placeable_engines(service, service.profile)
            if not self._note_listing(service.name, engines):
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
        guaranteed = [self._guaranteed(engine) for engine in engines]
        batches = plan.iter_moves(engines, profile, self._is_idle, guaranteed)
        gaps = plan.CoverageGaps(engines, profile)
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_ORDERS)
        async with anyio.create_task_group() as tasks:
            for batch in batches:
                moves = self._delay_empty_engines(
                    service, engines, batch, gaps
                )
                for move in moves:
                    self._note_pending(move, RECHECK_SECONDS)
                    tasks.start_soon(self._order_limited, move, limiter)
                # Planning a batch took time even if all its moves are delayed.
                await anyio.sleep(YIELD_SECONDS if batch else 0.0)
                if not self._lease.is_held:
                    return

    async def _rearrange(
        self, service: routes.Service, profile: chain.EngineProfile
    ) -> None:
        """Rearrange engines if the plan leaves layers unheld.

        The orders of the plan have been sent and count as carried out here.
        """
        engines = self._placeable_engines(service, profile)
        missing = rearrangement.missing_layers(engines, profile)
        delay = self._delays.setdefault(
            service.name, rearrangement_delay.RearrangementDelay()
        )
        now = anyio.current_time()
        # If no engine holds any layer, the plan places all of them.
        if not missing or len(missing) == profile.layer_count:
            delay.reset()
            return
        is_announced = self._are_held_by_leaving(service.name, missing)
        if (
            not delay.note_missing(now, is_announced, missing)
            or not self._lease.is_held
        ):
            return
        guaranteed = [self._guaranteed(engine) for engine in engines]
        computation = rearrangement.find_steps(
            engines,
            profile,
            self._can_be_ordered,
            guaranteed,
            # Leaving engines still serve, so no stream has to be interrupted.
            not is_announced,
        )
        steps = await _run_cooperatively(computation)
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

    def _are_held_by_leaving(self, service: str, missing: list[int]) -> bool:
        """Whether leaving engines hold all of the missing layers."""
        remaining_layers = set(missing)
        for engine in self._registry.listed(service):
            if engine.is_leaving and engine.layers is not None:
                remaining_layers -= set(
                    range(engine.layers.first, engine.layers.end)
                )
        return not remaining_layers

    def _can_be_ordered(self, engine: chain.Upstream) -> bool:
        backoff_seconds = self._registry.backoff_seconds_left(engine.name)
        return self._is_idle(engine) and not backoff_seconds

    async def _order_rearrangement(
        self, steps: list[rearrangement.Step]
    ) -> bool:
        """Send the orders of a rearrangement and return whether any was sent.

        Each order waits until the engines in its step's ``after`` have
        accepted theirs.
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
                if outcome is _Outcome.ACCEPTED:
                    accepted.add(name)
            finally:
                done_events[name].set()

        async with anyio.create_task_group() as tasks:
            for step in steps:
                tasks.start_soon(send, step)
        return bool(sent)

    def _note_listing(
        self, service: str, engines: list[chain.Upstream]
    ) -> bool:
        """Record the listed engines and return whether to plan for them.

        That is if an engine has layers, once no engine was added for
        ``LIST_QUIET_SECONDS``, or ``LIST_MAX_SECONDS`` after the first call.
        """
        now = anyio.current_time()
        listed = frozenset(engine.name for engine in engines)
        times = self._listing_times.get(service)
        if times is None:
            times = self._listing_times[service] = _ListingTimes(
                listed, now, now
            )
        elif not listed <= times.names_at_last_addition:
            times.names_at_last_addition, times.last_added_at = listed, now
        if any(engine.layers is not None for engine in engines):
            return True
        return (
            now - times.last_added_at >= LIST_QUIET_SECONDS
            or now - times.first_listed_at >= LIST_MAX_SECONDS
        )

    def _delay_empty_engines(
        self,
        service: routes.Service,
        engines: list[chain.Upstream],
        moves: list[plan.Move],
        gaps: plan.CoverageGaps,
    ) -> list[plan.Move]:
        """Return the moves without those of empty engines that still wait.

        An engine does not wait if it fills a gap or if all engines are empty.
        """
        now = anyio.current_time()
        empty = {engine.name for engine in engines if engine.layers is None}
        known_empty_since = self._empty_since.get(service.name, {})
        empty_since = {
            name: known_empty_since.get(name, now) for name in empty
        }
        self._empty_since[service.name] = empty_since
        if len(empty) == len(engines):
            return moves
        return [
            move
            for move in moves
            if move.upstream.layers is not None
            or now - empty_since[move.upstream.name]
            >= EMPTY_ENGINE_DELAY_SECONDS
            or gaps.is_filled_by(move)
        ]

    def _placeable_engines(
        self, service: routes.Service, profile: chain.EngineProfile
    ) -> list[chain.Upstream]:
        """Return the live engines that can be ordered to hold layers.

        One whose memory is unknown might be ordered to hold more than fits.
        """
        return [
            engine
            for engine in chain.engines_within(
                self._live_engines(service), profile.layer_count
            )
            if profile.is_memory_known(engine.card)
        ]

    def _live_engines(self, service: routes.Service) -> list[chain.Upstream]:
        """Return the live engines with the layers that they will hold."""
        live = []
        for engine in self._registry.listed(service.name):
            if engine.is_leaving or self._failure_detector.is_lost(
                engine.name
            ):
                continue
            order = self._expected_layers.get(engine.name)
            live.append(order.expected if order else engine)
        return live

    def _guaranteed(self, expected: chain.Upstream) -> chain.Upstream:
        """Return an engine with the layers that it is guaranteed to keep.

        :param expected: the engine with the layers that it will hold.
        """
        name = expected.name
        if name in self._in_doubt:
            return attrs.evolve(expected, layers=None)
        listed = self._registry.find(name)
        held = listed.layers if listed is not None else None
        return attrs.evolve(
            expected, layers=_intersection(held, expected.layers)
        )

    def _adopt_in_doubt(self) -> None:
        """Take over orders in doubt from the lease's previous holder.

        The memo of the lease lists them; it is read once per term.
        """
        if self._lease.term == self._adopted_term:
            return
        self._adopted_term = self._lease.term
        until = anyio.current_time() + LATE_ORDER_SECONDS
        for memo_item in self._lease.memo:
            name, _, expected_orders = memo_item.rpartition("@")
            if not name or not _COUNT.fullmatch(expected_orders):
                # Holders write no such items.
                logs.change("lease_memo_unread", item=memo_item[:80])
            elif name not in self._in_doubt:
                self._in_doubt[name] = _InDoubtOrder(
                    int(expected_orders), until
                )

    def _store_in_doubt(self) -> None:
        self._lease.set_memo(
            tuple(
                f"{name}@{order.expected_orders}"
                for name, order in sorted(self._in_doubt.items())
            )
        )

    def _is_idle(self, engine: chain.Upstream) -> bool:
        return engine.name not in self._expected_layers

    def _drop_finished_orders(self) -> None:
        """Drop orders that were carried out or whose time has passed.

        Also drop those of engines that are no longer listed.
        """
        now = anyio.current_time()
        for name, order in list(self._expected_layers.items()):
            listed = self._registry.find(name)
            is_done = listed is None or listed.layers == order.expected.layers
            if is_done or order.until <= now:
                del self._expected_layers[name]
        expired = [
            engine_name
            for engine_name, in_doubt_order in self._in_doubt.items()
            if in_doubt_order.until <= now
        ]
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
            # The next reconciliation plans again.
            return _Outcome.NOT_SENT
        self._note_pending(move, RECHECK_SECONDS)
        try:
            report = await self._order_client.report(move.upstream)
        except errors.CrowdeckError as error:
            self._registry.avoid(
                name,
                f"could not fetch its report before an order: {error.message}",
            )
            return _Outcome.NOT_SENT
        if report.is_busy or report.layers != move.upstream.layers:
            # The engine is carrying out another order, or its record is
            # outdated. The next reconciliation plans from its report.
            self._note_reported(move.upstream, report)
            return _Outcome.NOT_SENT
        if not self._lease.is_held:
            return _Outcome.NOT_SENT
        self._resolve_in_doubt(name, report.orders_taken)
        is_accepted = False
        try:
            is_accepted = await self._order_client.place(
                move, report.orders_taken, self._lease.term
            )
        except errors.CrowdeckError as error:
            self._mark_in_doubt(name, report.orders_taken, error.message)
        if is_accepted:
            self._resolve_in_doubt(name, report.orders_taken + 1)
        self._note_pending(
            move, ORDER_SETTLE_SECONDS if is_accepted else RECHECK_SECONDS
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
            is_taken=is_accepted,
        )
        return _Outcome.ACCEPTED if is_accepted else _Outcome.UNCONFIRMED

    def _mark_in_doubt(
        self, name: str, expected_orders: int, reason: str
    ) -> None:
        until = anyio.current_time() + LATE_ORDER_SECONDS
        self._in_doubt[name] = _InDoubtOrder(expected_orders, until)
        self._store_in_doubt()
        logs.change(
            "order_in_doubt",
            upstream=name,
            orders_taken=expected_orders,
            term=self._lease.term,
            reason=reason,
        )

    def _resolve_in_doubt(self, name: str, orders_taken: int) -> None:
        """Forget an order in doubt once the engine accepted a newer one."""
        order = self._in_doubt.get(name)
        if order is not None and orders_taken > order.expected_orders:
            del self._in_doubt[name]
            self._store_in_doubt()

    def _note_pending(self, move: plan.Move, seconds: float) -> None:
        """Count an order as outstanding for the given time."""
        self._expected_layers[move.upstream.name] = _ExpectedLayers(
            attrs.evolve(move.upstream, layers=move.layers),
            anyio.current_time() + seconds,
        )

    def _note_reported(
        self, upstream: chain.Upstream, report: chain.EngineReport
    ) -> None:
        self._expected_layers[upstream.name] = _ExpectedLayers(
            attrs.evolve(upstream, layers=report.layers or upstream.layers),
            anyio.current_time() + RECHECK_SECONDS,
        )


async def _run_cooperatively(
    computation: relayout.Cooperative[list[rearrangement.Step]],
) -> list[rearrangement.Step]:
    """Run a computation, and let other tasks run whenever it yields."""
    while True:
        try:
            next(computation)
        except StopIteration as done:
            return typing.cast(list[rearrangement.Step], done.value)
        await anyio.sleep(YIELD_SECONDS)


def _intersection(
    left: pipeline.LayerRange | None, right: pipeline.LayerRange | None
) -> pipeline.LayerRange | None:
    """Return the layers that are in both ranges."""
    if left is None or right is None:
        return None
    first, end = max(left.first, right.first), min(left.end, right.end)
    return pipeline.LayerRange(first, end) if first < end else None
