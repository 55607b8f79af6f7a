# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A stand-in for upstreams that chain their stages themselves.

It serves the relay in process, over ``relay.interfaces.Upstreams``, and keeps
what a test asks afterwards: what ran where, and how often. Streams are
event N of request R as ``id: N``, ``data: R:N``, so that a missing, doubled
or foreign event shows.
"""

import collections
import contextlib
import enum
import typing

import anyio
import attrs

from crowdeck import backpressure as pressures
from crowdeck import chain
from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck import pipeline
from crowdeck.placement import plan
from crowdeck.relay import interfaces
from crowdeck.relay import request as requests
from crowdeck.standin import chain_answer
from crowdeck.standin import repeats
from crowdeck import verdict as verdicts

# Engines cut what waits for a dead or silent one after this long.
STALL_SECONDS = 2.0
POLL_SECONDS = 0.005
# A first engine that is to go on through one that says nothing refuses
# after this long; 70 to 100 ms were seen.
UNRESPONSIVE_HOP_SECONDS = 0.085
# A connection, a question and an answer: each needs the loop of whoever
# asks to run once more, which a single pause would hide.
DIAL_STEPS = 4
DIAL_STEP_SECONDS = 0.0003
# An engine falls over this long after it began a request that ends it;
# 0.06 to 0.12 s were seen.
CRASH_DELAY_SECONDS = 0.1


@attrs.define(eq=False)
class StandinUpstream:
    """One upstream instance and what a test makes of it.

    :ivar is_dead: refuses connections.
    :ivar is_unresponsive: does not answer, nor does it refuse.
    :ivar is_suspended: takes connections, and reads what came by them once it
        goes on, also what was given up meanwhile.
    :ivar rejected_requests: how many of the next requests it refuses,
        none of which has run.
    :ivar lost_answers: how many of the next answers it loses after running.
    :ivar break_stream_after: breaks a stream off after so many events, once.
    :ivar breaks_every_stream: breaks off every stream so, not only one.
    :ivar hanging_streams: how many of the next streams it accepts and never
        answers.
    :ivar failed_calls: how many of the next calls it answers with 500.
    :ivar misattributed_answers: how many of the next answers carry the id of
        another request.
    :ivar reset_connections: how many of the next connections it resets.
    :ivar refuses_repaths: refuses every other path, and does not say why.
    :ivar backoff: asks those whom it turns away for so many seconds of rest.
    :ivar announces_leaving: says in its answers that it leaves.
    :ivar limit: names this limit in its answers, in requests a second.
    :ivar tells_load: tells in its answers how many requests it runs.
    :ivar running: requests that it runs.
    :ivar loaded_at: the loop's time when all layers that it tells serve.
    :ivar kept: those that serve before that, too.
    """

    listed: chain.Upstream
    orders_taken: int = 0
    is_dead: bool = False
    is_unresponsive: bool = False
    is_suspended: bool = False
    rejected_requests: int = 0
    lost_answers: int = 0
    break_stream_after: int = -1
    breaks_every_stream: bool = False
    failed_calls: int = 0
    hanging_streams: int = 0
    misattributed_answers: int = 0
    reset_connections: int = 0
    refuses_repaths: bool = False
    backoff: float = 0.0
    announces_leaving: bool = False
    limit: float | None = None
    tells_load: bool = False
    running: int = 0
    seconds: float = 0.02
    late_orders: list[plan.Move] = attrs.field(factory=list)
    loaded_at: float = float("-inf")
    kept: pipeline.LayerRange | None = None

    @property
    def is_loading(self) -> bool:
        """Whether it loads layers."""
        return anyio.current_time() < self.loaded_at

    @property
    def answers(self) -> bool:
        """Whether it answers at all."""
        return not self.is_dead and not self.is_unresponsive

    @property
    def backpressure(self) -> pressures.Backpressure:
        """What it says in an answer that turns nobody away."""
        return pressures.Backpressure(
            limit=self.limit, is_leaving=self.announces_leaving
        )

    @property
    def load(self) -> interfaces.Load | None:
        """The load that it tells, if it does."""
        if not self.tells_load:
            return None
        return interfaces.Load(self.running, 0, self.listed.slots)


@attrs.frozen
class Run:
    """One time that an upstream ran a request."""

    upstream: str
    request: str
    after: int
    path: str
    team: str
    body: bytes = b""
    at: float = 0.0


@attrs.frozen
class EngineCrash:
    """One time that a request ended the upstream which had begun it."""

    target: StandinUpstream
    upstream: str
    body: bytes
    at: float


class ChainFleet:
    """Upstreams by address, in one process.

    A request whose body is one of ``crashing_bodies`` ends each upstream that
    begins it; ``crashes`` keeps which and when.

    ``accounts`` has what each service got, by its name.

    While ``is_cut_off`` nothing passes between them and whoever asks, and
    nothing is lost either: as on a link that is full.

    New layers take their share of ``load_seconds``.
    """

    def __init__(self, layer_count: int = 80) -> None:
        self._layer_count = layer_count
        self._upstreams: dict[str, StandinUpstream] = {}
        self._paths: dict[str, chain.ChainPath] = {}
        self.runs: list[Run] = []
        self.rejected: collections.Counter[str] = collections.Counter()
        self.repaths: list[str] = []
        self.crashing_bodies: set[bytes] = set()
        self.crashes: list[EngineCrash] = []
        self.accounts: dict[str, repeats.RepeatAccount] = (
            collections.defaultdict(repeats.RepeatAccount)
        )
        self._unread: list[tuple[StandinUpstream, str]] = []
        self.is_cut_off = False
        self.events = 20
        self.event_seconds = 0.02
        self.load_seconds = 0.0

    def add(self, listed: chain.Upstream) -> StandinUpstream:
        """Add an upstream instance."""
        upstream = StandinUpstream(listed)
        self._upstreams[str(listed.address)] = upstream
        return upstream

    @property
    def upstreams(self) -> list[StandinUpstream]:
        """Every instance."""
        return list(self._upstreams.values())

    def at(self, address: instances.Address | str) -> StandinUpstream:
        """Return the instance at an address."""
        return self._upstreams[str(address)]

    def runs_of(self, request_id: str) -> list[Run]:
        """Return when and where a request ran."""
        return [run for run in self.runs if run.request == request_id]

    @contextlib.asynccontextmanager
    async def open(
        self,
        upstream: chain.Upstream,
        request: requests.CallerRequest,
        dispatch: interfaces.Dispatch,
        timeouts: http.Timeouts,
    ) -> typing.AsyncIterator[chain_answer.StandinAnswer]:
        """Send a request."""
        target = await self._dial(upstream, timeouts.connect)
        await self._arrive(target, request)
        is_other = target.listed.incarnation.id != upstream.incarnation.id
        if is_other or target.rejected_requests:
            target.rejected_requests = max(0, target.rejected_requests - 1)
            self.rejected[target.listed.name] += 1
            yield self._rejection(target, request, 503, "")
            return
        culprit = self._misfit(dispatch.path)
        if culprit is not None:
            self.rejected[target.listed.name] += 1
            yield self._rejection(target, request, 421, culprit)
            return
        self.runs.append(
            Run(
                target.listed.name,
                request.id,
                dispatch.last_event,
                str(dispatch.path or ""),
                dispatch.team,
                request.body,
                anyio.current_time(),
            )
        )
        target.running += 1
        try:
            if dispatch.path is not None:
                self._paths[request.id] = dispatch.path
            else:
                await self._work(target, request)
            if target.lost_answers:
                target.lost_answers -= 1
                raise _lost(verdicts.Verdict.MAY_HAVE_RUN)
            yield self._answer(target, request, dispatch)
        finally:
            target.running -= 1

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        """Return what an engine says of itself."""
        target = await self._dial(upstream, 0.25)
        stalls = [
            chain.Stall(request, str(hop.upstream.address))
            for request, path in self._paths.items()
            if path.head.address == upstream.address
            for hop in path.hops
            if not self.at(hop.upstream.address).answers
        ]
        report = chain.EngineReport(
            orders_taken=target.orders_taken,
            is_busy=target.is_loading,
            layers=target.listed.layers,
            running=0,
            waiting=0,
            cache_used=0.0,
            cache_total=1.0,
            slowdown=1.0,
            stalls=tuple(stalls),
            started_ms=target.listed.started_ms,
        )
        if report.is_from_later_run(upstream.incarnation):
            raise errors.InstanceGone("its process has started again")
        return report

    async def repath(
        self, head: chain.Upstream, request_id: str, path: chain.ChainPath
    ) -> interfaces.RepathOutcome:
        """Have a running request go on along another path."""
        await self._dial(head, 0.25)
        if request_id not in self._paths:
            return interfaces.RepathOutcome(is_done=False, is_known=False)
        if self.at(head.address).refuses_repaths:
            return interfaces.RepathOutcome(is_done=False, is_known=True)
        for hop in path.hops:
            part = self._upstreams.get(str(hop.upstream.address))
            if part is not None and part.is_unresponsive:
                await anyio.sleep(UNRESPONSIVE_HOP_SECONDS)
                return interfaces.RepathOutcome(
                    False, True, str(hop.upstream.address)
                )
            if not self._holds(hop):
                return interfaces.RepathOutcome(
                    False, True, str(hop.upstream.address)
                )
        self._paths[request_id] = path
        self.repaths.append(request_id)
        return interfaces.RepathOutcome(is_done=True, is_known=True)

    async def place(
        self, move: plan.Move, expected_orders: int, fencing_token: int
    ) -> bool:
        """Give an order, as ``placement.controller.OrderClient`` has it."""
        target = await self._dial(move.upstream, 0.25)
        if target.orders_taken != expected_orders or target.is_loading:
            return False
        self.carry_out(target, move)
        return True

    def carry_out(self, target: StandinUpstream, move: plan.Move) -> None:
        """Hold other layers from now on."""
        target.orders_taken += 1
        target.kept = _common(target.listed.layers, move.layers)
        count = _count(move.layers) - _count(target.kept)
        seconds = self.load_seconds * count / self._layer_count
        target.loaded_at = anyio.current_time() + seconds
        target.listed = attrs.evolve(target.listed, layers=move.layers)

    async def _dial(
        self, upstream: chain.Upstream, timeout: float
    ) -> StandinUpstream:
        target = self._upstreams.get(str(upstream.address))
        if target is not None and target.is_unresponsive:
            await anyio.sleep(timeout)
        else:
            for _ in range(DIAL_STEPS):
                await anyio.sleep(DIAL_STEP_SECONDS)
                await self._await_link()
        if target is None or target.is_dead:
            raise errors.InstanceGone("the upstream was lost")
        if target.is_unresponsive:
            raise _lost(verdicts.Verdict.NOT_RUN)
        if target.reset_connections:
            target.reset_connections -= 1
            raise _lost(verdicts.Verdict.NOT_RUN)
        return target

    async def _arrive(
        self, target: StandinUpstream, request: requests.CallerRequest
    ) -> None:
        """Count a request once its instance reads it."""
        if target.is_suspended:
            self._unread.append((target, request.id))
            while target.is_suspended:
                await anyio.sleep(POLL_SECONDS)
            return
        self._note_arrival(target, request.id)

    def thaw(self, target: StandinUpstream) -> None:
        """Have a frozen instance go on."""
        target.is_suspended = False
        for one, request_id in self._unread:
            if one is target:
                self._note_arrival(one, request_id)
        self._unread = [pair for pair in self._unread if pair[0] is not target]

    def _note_arrival(self, target: StandinUpstream, request_id: str) -> None:
        account = self.accounts[target.listed.service]
        account.note_arrival(request_id, anyio.current_time())

    def _misfit(self, path: chain.ChainPath | None) -> str | None:
        """Return the address of an engine that lacks its part."""
        if path is None:
            return None
        position = 0
        for hop in path.hops:
            if hop.layers.first != position or not self._holds(hop):
                return str(hop.upstream.address)
            position = hop.layers.end
        return None if position == self._layer_count else "0.0.0.0:0"

    def _holds(self, hop: chain.Hop) -> bool:
        target = self._upstreams.get(str(hop.upstream.address))
        if target is None or target.is_dead or target.listed.layers is None:
            return False
        held = target.kept if target.is_loading else target.listed.layers
        if held is None:
            return False
        return held.first <= hop.layers.first and hop.layers.end <= held.end

    def _answer(
        self,
        target: StandinUpstream,
        request: requests.CallerRequest,
        dispatch: interfaces.Dispatch,
    ) -> chain_answer.StandinAnswer:
        request_id = request.id
        if target.misattributed_answers:
            target.misattributed_answers -= 1
            request_id = "another"
        if dispatch.path is not None:
            pieces = self._stream(target, request, dispatch)
            return chain_answer.StandinAnswer(
                200,
                request_id,
                pieces,
                backpressure=target.backpressure,
                load=target.load,
            )
        status = 200
        if target.failed_calls:
            target.failed_calls -= 1
            status = 500
        return chain_answer.StandinAnswer(
            status,
            request_id,
            _one(request.id.encode()),
            backpressure=target.backpressure,
            load=target.load,
        )

    async def _work(
        self, target: StandinUpstream, request: requests.CallerRequest
    ) -> None:
        await anyio.sleep(target.seconds)
        await self._fall_over(target, request)
        if target.is_unresponsive:
            await anyio.sleep_forever()

    async def _stream(
        self,
        target: StandinUpstream,
        request: requests.CallerRequest,
        dispatch: interfaces.Dispatch,
    ) -> typing.AsyncIterator[bytes]:
        sent = 0
        if target.hanging_streams:
            target.hanging_streams -= 1
            await anyio.sleep_forever()
        await self._fall_over(target, request)
        for number in range(dispatch.last_event + 1, self.events):
            await anyio.sleep(self.event_seconds)
            await self._await_path(target, request.id)
            await self._await_link()
            if target.break_stream_after == sent:
                if not target.breaks_every_stream:
                    target.break_stream_after = -1
                yield event(request.id, number)[:5]
                raise _lost(verdicts.Verdict.MAY_HAVE_RUN)
            yield event(request.id, number)
            sent += 1

    async def _fall_over(
        self, target: StandinUpstream, request: requests.CallerRequest
    ) -> None:
        """End an upstream that has begun a request which ends it."""
        if request.body not in self.crashing_bodies:
            return
        await anyio.sleep(CRASH_DELAY_SECONDS)
        if not target.is_dead:
            target.is_dead = True
            now = anyio.current_time()
            fall = EngineCrash(target, target.listed.name, request.body, now)
            self.crashes.append(fall)
        raise _lost(verdicts.Verdict.MAY_HAVE_RUN)

    async def _await_link(self) -> None:
        while self.is_cut_off:
            await anyio.sleep(POLL_SECONDS)

    async def _await_path(
        self, target: StandinUpstream, request_id: str
    ) -> None:
        waited = 0.0
        while True:
            if target.is_unresponsive:
                await anyio.sleep_forever()
            if target.is_dead or waited > STALL_SECONDS:
                raise _lost(verdicts.Verdict.MAY_HAVE_RUN)
            path = self._paths[request_id]
            if all(self.at(hop.upstream.address).answers for hop in path.hops):
                return
            await anyio.sleep(POLL_SECONDS)
            waited += POLL_SECONDS

    def _rejection(
        self,
        target: StandinUpstream,
        request: requests.CallerRequest,
        status: int,
        culprit: str,
    ) -> chain_answer.StandinAnswer:
        told = pressures.NONE
        if status == 503:
            told = attrs.evolve(target.backpressure, backoff=target.backoff)
        return chain_answer.StandinAnswer(
            status,
            request.id,
            _one(b""),
            has_not_run=True,
            culprit=culprit,
            backpressure=told,
        )


class CallKind(enum.Enum):
    """What an instance may be sent."""

    REQUEST = "request"
    QUESTION = "question"
    ORDER = "order"


@attrs.frozen
class Arrival:
    """One time that an entry sent an instance anything.

    :ivar arrived: the loop's time when the entry asked; a caller's request
        had come to it then.
    """

    upstream: str
    what: CallKind
    at: float
    arrived: float


class FleetClient:
    """One entry's way to a fleet; implements ``relay.interfaces.Upstreams``.

    :ivar arrivals: all that the entry sent.
    """

    def __init__(self, fleet: ChainFleet) -> None:
        self._fleet = fleet
        self.arrivals: list[Arrival] = []
        self._listeners: list[interfaces.NoticeListener] = []

    def subscribe(self, listener: interfaces.NoticeListener) -> None:
        """Call ``listener`` with what each answer tells of its sender."""
        self._listeners.append(listener)

    @contextlib.asynccontextmanager
    async def open(
        self,
        upstream: chain.Upstream,
        request: requests.CallerRequest,
        dispatch: interfaces.Dispatch,
        timeouts: http.Timeouts,
    ) -> typing.AsyncIterator[interfaces.Answer]:
        """Send a request."""
        self._note(upstream, CallKind.REQUEST, request.arrived)
        async with self._fleet.open(
            upstream, request, dispatch, timeouts
        ) as answer:
            self._tell(
                upstream, interfaces.Notice(answer.backpressure, answer.load)
            )
            yield answer

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        """Return what an engine says of itself."""
        self._note(upstream, CallKind.QUESTION)
        report = await self._fleet.report(upstream)
        self._tell_other(upstream)
        return report

    async def repath(
        self, head: chain.Upstream, request_id: str, path: chain.ChainPath
    ) -> interfaces.RepathOutcome:
        """Have a running request go on along another path."""
        self._note(head, CallKind.ORDER)
        outcome = await self._fleet.repath(head, request_id, path)
        self._tell_other(head)
        return outcome

    def _note(
        self, upstream: chain.Upstream, what: CallKind, arrived: float = 0.0
    ) -> None:
        now = anyio.current_time()
        self.arrivals.append(Arrival(upstream.name, what, now, arrived))

    def _tell_other(self, upstream: chain.Upstream) -> None:
        told = self._fleet.at(upstream.address).backpressure
        self._tell(upstream, interfaces.Notice(told, answers_request=False))

    def _tell(
        self, upstream: chain.Upstream, notice: interfaces.Notice
    ) -> None:
        for listener in self._listeners:
            listener(upstream, notice)


def event(request_id: str, number: int) -> bytes:
    """Return the bytes of one event."""
    return f"id: {number}\ndata: {request_id}:{number}\n\n".encode()


def split_layers(layer_count: int, parts: int) -> list[pipeline.LayerRange]:
    """Return ``layer_count`` layers in ``parts`` ranges."""
    bounds = [layer_count * part // parts for part in range(parts + 1)]
    return [
        pipeline.LayerRange(first, end)
        for first, end in zip(bounds, bounds[1:], strict=False)
    ]


def _count(layers: pipeline.LayerRange | None) -> int:
    return layers.end - layers.first if layers else 0


def _common(
    one: pipeline.LayerRange | None, other: pipeline.LayerRange
) -> pipeline.LayerRange | None:
    """Return the layers that are in both ranges."""
    if one is None:
        return None
    first, end = max(one.first, other.first), min(one.end, other.end)
    return pipeline.LayerRange(first, end) if first < end else None


async def _one(piece: bytes) -> typing.AsyncIterator[bytes]:
    yield piece


def _lost(verdict: verdicts.Verdict) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.UPSTREAM_LOST, "the upstream was lost", verdict=verdict
    )
