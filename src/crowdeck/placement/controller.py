# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The duty of ordering engines to hold layers, done by one entry."""

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

# How often the plan is looked at while nothing is told to have changed:
# an engine that is avoided or an order that was lost shows only in time.
LOOK_SECONDS = 0.5
# An engine tells its new layers with its next heartbeat; until about
# then its order is taken for under way.
SETTLE_SECONDS = 2.5
# A fleet that starts lists its engines one after the other. A plan made
# for the first few would be wrong for all, so the first one waits until
# no engine was added for a while; engines start within about a second of
# one another and are listed within two heartbeats.
LIST_QUIET_SECONDS = 1.2
LIST_MOST_SECONDS = 5.0
# An engine that comes while every layer is held waits this long for its
# layers: in a planned replacement the old one leaves soon after, and the
# new one had better load what that held than be moved again.
EMPTY_ENGINE_DELAY_SECONDS = 2.0
# An order whose answer was lost may be done up to twelve seconds late.
# Asking the engine what it holds settles it sooner, not before this.
UNKNOWN_SECONDS = 0.6
# Until then, or until the engine has taken a newer order, what it holds is
# in doubt, and no other engine gives up a layer because of it.
LATE_ORDER_SECONDS = 12.5
# Orders under way at once. Each takes some ms of a small entry's time, so that
# of a thousand at once none would be answered before it is given up.
ORDERS_AT_ONCE = 32
# Between two parts of a plan: a call of the store and back.
TURN_SECONDS = 0.005


class OrderClient(typing.Protocol):
    """Reaches engines with orders."""

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        """Return what an engine says of itself."""
        ...

    async def place(
        self, move: plan.Move, expected_orders: int, fencing_token: int
    ) -> bool:
        """Give an order; false when the engine refused it.

        :raises CrowdeckError: when it may have been taken, or may yet be.
        """
        ...


class _Outcome(enum.Enum):
    """What became of an order."""

    NOT_SENT = "not sent"
    SENT = "sent"
    TAKEN = "taken"


@attrs.define(eq=False)
class _Pending:
    """An engine that was ordered, or is busy with an earlier order.

    :ivar expected: the engine with the layers that it is going to hold.
    :ivar until: the loop's time after which it is looked at again.
    """

    expected: chain.Upstream
    until: float


@attrs.frozen
class _Doubt:
    """An order that may still be carried out.

    :ivar expected: the count of orders with which it fits.
    :ivar until: the loop's time after which it no longer comes.
    """

    expected: int
    until: float


@attrs.define
class _Arrivals:
    """When engines of a service were first seen, and last added to."""

    names: frozenset[str]
    first_at: float
    last_at: float


class PlacementController:
    """Keeps the layers of every model in place while the lease is held."""

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
        self._doubts: dict[str, _Doubt] = {}
        self._term = 0
        self._losses = failure_detector.FailureDetector(
            registry, orders, services
        )
        self._arrivals: dict[str, _Arrivals] = {}
        self._empty_since: dict[str, dict[str, float]] = {}
        self._patience: dict[str, rearrangement_delay.RearrangementDelay] = {}
        self._changed = anyio.Event()
        registry.subscribe(self._wake)

    async def run(self) -> None:
        """Look at the plan whenever something changed, until cancelled."""
        while True:
            self._changed = anyio.Event()
            if self._lease.is_held:
                await self._look()
            with anyio.move_on_after(self._pause()):
                await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()

    def _pause(self) -> float:
        """Return the seconds until the next look."""
        now = anyio.current_time()
        due = (one.due - now for one in self._patience.values())
        return min([LOOK_SECONDS, *(left for left in due if left > 0.0)])

    async def _look(self) -> None:
        self._take_over()
        self._forget_pending()
        await self._losses.look()
        for service in self._services():
            if service.profile is None:
                continue
            engines = chain.engines_within(
                self._engines(service), service.profile.layer_count
            )
            if not self._has_gathered(service.name, engines):
                continue
            await self._order_all(service, service.profile, engines)
            await self._complete(service, service.profile)

    async def _order_all(
        self,
        service: routes.Service,
        profile: chain.EngineProfile,
        engines: list[chain.Upstream],
    ) -> None:
        """Give the orders that the plan asks for, a part at a time.

        Between two parts everything else has its turn: the lease, above
        all, has to be renewed while the layers of a large fleet are found.
        """
        relied = [self._relied_on(one) for one in engines]
        batches = plan.iter_moves(engines, profile, self._is_idle, relied)
        gaps = plan.CoverageGaps(engines, profile)
        limiter = anyio.CapacityLimiter(ORDERS_AT_ONCE)
        async with anyio.create_task_group() as tasks:
            for batch in batches:
                moves = self._hold_newcomers(service, engines, batch, gaps)
                for move in moves:
                    self._expect(move, UNKNOWN_SECONDS)
                    tasks.start_soon(self._order_within, move, limiter)
                # Also for those held back: finding them took as long.
                await anyio.sleep(TURN_SECONDS if batch else 0.0)
                if not self._lease.is_held:
                    return

    async def _complete(
        self, service: routes.Service, profile: chain.EngineProfile
    ) -> None:
        """Rearrange engines where a layer is held by none, and will be.

        All that the plan asks for has been ordered before.
        """
        engines = chain.engines_within(
            self._engines(service), profile.layer_count
        )
        missing = rearrangement.missing_layers(engines, profile)
        known = self._patience.setdefault(
            service.name, rearrangement_delay.RearrangementDelay()
        )
        now = anyio.current_time()
        if not missing or len(missing) == profile.layer_count:
            known.forget()
            return
        is_told = self._are_leaving(service.name, missing)
        if (
            not known.is_expired(now, is_told, missing)
            or not self._lease.is_held
        ):
            return
        relied = [self._relied_on(one) for one in engines]
        parts = rearrangement.steps_in_parts(
            engines, profile, self._can_be_ordered, relied, not is_told
        )
        steps = await _in_parts(parts)
        if steps and await self._take(steps):
            known.note_round(anyio.current_time())
            logs.change(
                "layers_rearranged",
                service=service.name,
                missing=len(missing),
                engines=len(steps),
                term=self._lease.term,
                is_told=is_told,
            )

    def _are_leaving(self, service: str, missing: list[int]) -> bool:
        """Whether those that hold some layers say that they leave."""
        left = set(missing)
        for one in self._registry.listed(service):
            if one.is_leaving and one.layers is not None:
                left -= set(range(one.layers.first, one.layers.end))
        return not left

    def _can_be_ordered(self, upstream: chain.Upstream) -> bool:
        resting = self._registry.backoff_seconds_left(upstream.name)
        return self._is_idle(upstream) and not resting

    async def _take(self, steps: list[rearrangement.Step]) -> bool:
        """Give the orders of a rearrangement, each once others are taken.

        Returns whether any was sent.
        """
        limiter = anyio.CapacityLimiter(ORDERS_AT_ONCE)
        is_expired = {step.move.upstream.name: anyio.Event() for step in steps}
        taken: set[str] = set()
        sent: set[str] = set()

        async def give(step: rearrangement.Step) -> None:
            name = step.move.upstream.name
            try:
                for other in step.after:
                    await is_expired[other].wait()
                if not step.after <= taken:
                    # The next look plans again, from what they hold then.
                    return
                outcome = await self._order_within(step.move, limiter)
                if outcome is not _Outcome.NOT_SENT:
                    sent.add(name)
                if outcome is _Outcome.TAKEN:
                    taken.add(name)
            finally:
                is_expired[name].set()

        async with anyio.create_task_group() as tasks:
            for step in steps:
                tasks.start_soon(give, step)
        return bool(sent)

    def _has_gathered(
        self, service: str, engines: list[chain.Upstream]
    ) -> bool:
        """Whether a service's first plan can be made."""
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
            or now - seen.first_at >= LIST_MOST_SECONDS
        )

    def _hold_newcomers(
        self,
        service: routes.Service,
        engines: list[chain.Upstream],
        moves: list[plan.Move],
        gaps: plan.CoverageGaps,
    ) -> list[plan.Move]:
        """Leave out moves of engines that had better wait a little."""
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

    def _engines(self, service: routes.Service) -> list[chain.Upstream]:
        """Return the engines that live, with what they are going to hold."""
        found = []
        for one in self._registry.listed(service.name):
            if one.is_leaving or self._losses.is_lost(one.name):
                continue
            pending = self._pending.get(one.name)
            found.append(pending.expected if pending else one)
        return found

    def _relied_on(self, expected: chain.Upstream) -> chain.Upstream:
        """Return an engine with the layers that it keeps in any case."""
        name = expected.name
        if name in self._doubts:
            return attrs.evolve(expected, layers=None)
        listed = self._registry.find(name)
        held = listed.layers if listed is not None else None
        return attrs.evolve(expected, layers=_common(held, expected.layers))

    def _take_over(self) -> None:
        """Take the doubts of the giver before this one, once for a term."""
        if self._lease.term == self._term:
            return
        self._term = self._lease.term
        until = anyio.current_time() + LATE_ORDER_SECONDS
        for note in self._lease.memo:
            name, _, count = note.rpartition("@")
            if name and name not in self._doubts:
                self._doubts[name] = _Doubt(int(count), until)

    def _tell_doubts(self) -> None:
        self._lease.set_memo(
            tuple(
                f"{name}@{doubt.expected}"
                for name, doubt in sorted(self._doubts.items())
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
        over = [n for n, one in self._doubts.items() if one.until <= now]
        for name in over:
            del self._doubts[name]
        if over:
            self._tell_doubts()

    async def _order_within(
        self, move: plan.Move, limiter: anyio.CapacityLimiter
    ) -> "_Outcome":
        async with limiter:
            if self._lease.is_held:
                return await self._order(move)
        return _Outcome.NOT_SENT

    async def _order(self, move: plan.Move) -> "_Outcome":
        name = move.upstream.name
        if self._registry.backoff_seconds_left(name):
            # Planned again at the next look.
            return _Outcome.NOT_SENT
        self._expect(move, UNKNOWN_SECONDS)
        try:
            report = await self._orders.report(move.upstream)
        except errors.CrowdeckError as error:
            self._registry.avoid(name, f"no report: {error.message}")
            return _Outcome.NOT_SENT
        if report.is_busy or report.layers != move.upstream.layers:
            # It carries out an order already, or its entry lags behind:
            # plan again from what it says itself.
            self._keep(move.upstream, report)
            return _Outcome.NOT_SENT
        if not self._lease.is_held:
            return _Outcome.NOT_SENT
        self._settle_doubt(name, report.orders_taken)
        is_taken = False
        try:
            is_taken = await self._orders.place(
                move, report.orders_taken, self._lease.term
            )
        except errors.CrowdeckError as error:
            self._doubt(name, report.orders_taken, error.message)
        if is_taken:
            self._settle_doubt(name, report.orders_taken + 1)
        self._expect(move, SETTLE_SECONDS if is_taken else UNKNOWN_SECONDS)
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

    def _doubt(self, name: str, expected: int, reason: str) -> None:
        until = anyio.current_time() + LATE_ORDER_SECONDS
        self._doubts[name] = _Doubt(expected, until)
        self._tell_doubts()
        logs.change(
            "order_in_doubt",
            upstream=name,
            orders_taken=expected,
            term=self._lease.term,
            reason=reason,
        )

    def _settle_doubt(self, name: str, orders_taken: int) -> None:
        """End a doubt when an engine has taken a newer order."""
        doubt = self._doubts.get(name)
        if doubt is not None and orders_taken > doubt.expected:
            del self._doubts[name]
            self._tell_doubts()

    def _expect(self, move: plan.Move, seconds: float) -> None:
        self._pending[move.upstream.name] = _Pending(
            attrs.evolve(move.upstream, layers=move.layers),
            anyio.current_time() + seconds,
        )

    def _keep(
        self, upstream: chain.Upstream, report: chain.EngineReport
    ) -> None:
        self._pending[upstream.name] = _Pending(
            attrs.evolve(upstream, layers=report.layers or upstream.layers),
            anyio.current_time() + UNKNOWN_SECONDS,
        )


async def _in_parts(
    parts: relayout.Parts[list[rearrangement.Step]],
) -> list[rearrangement.Step]:
    """Do some work, with everything else having its turn in between."""
    while True:
        try:
            next(parts)
        except StopIteration as done:
            return typing.cast(list[rearrangement.Step], done.value)
        await anyio.sleep(TURN_SECONDS)


def _common(
    one: pipeline.LayerRange | None, other: pipeline.LayerRange | None
) -> pipeline.LayerRange | None:
    """Return the layers that are in both ranges."""
    if one is None or other is None:
        return None
    first, end = max(one.first, other.first), min(one.end, other.end)
    return pipeline.LayerRange(first, end) if first < end else None
