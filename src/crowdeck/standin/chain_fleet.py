# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Stand-ins for upstreams that need no sidecars, see :mod:`crowdeck.chain`.

The relay calls them in process, through :class:`FleetClient`. They record
where and how often each request ran. Event N of request R has ``id: N`` and
``data: R:N``, so that tests detect missing, repeated and misrouted events.
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

# A stream fails after waiting this long for a dead or unresponsive engine.
STALL_SECONDS = 2.0
POLL_SECONDS = 0.005
# Time after which a head engine refuses a new path through an unresponsive
# engine.
UNRESPONSIVE_HOP_SECONDS = 0.085
# Number of sleeps of one dial. A single sleep would hide races with other
# tasks on the caller's event loop.
DIAL_STEPS = 4
DIAL_STEP_SECONDS = 0.0003
# Reports and orders fail without an answer in this time.
ANSWER_TIMEOUT_SECONDS = 0.5
# Time from the start of a crashing request to the crash.
CRASH_DELAY_SECONDS = 0.1


@attrs.define(eq=False)
class StandinUpstream:
    """One upstream instance, with the faults that a test injects.

    :ivar is_dead: refuses connections.
    :ivar is_unresponsive: neither answers nor refuses.
    :ivar is_suspended: accepts connections but reads requests only after it
        is resumed, including those that the caller has given up.
    :ivar silent_until: event loop time until which it accepts connections
        and neither reads nor writes; then it goes on where it stopped.
    :ivar rejected_requests: number of next requests to refuse without running
        them.
    :ivar lost_answers: number of next answers to lose after the request ran.
    :ivar break_stream_after: break one stream after this many events.
    :ivar breaks_every_stream: break every stream, not only one.
    :ivar filler: if not empty, sent in place of its events, without end.
    :ivar hanging_streams: number of next streams to accept and never answer.
    :ivar failed_calls: number of next calls to answer with status 500.
    :ivar misattributed_answers: number of next answers to send with the id of
        another request.
    :ivar reset_connections: number of next connections to reset.
    :ivar refuses_repaths: refuses every new path without naming a culprit.
    :ivar backoff: seconds of backoff that rejections ask for.
    :ivar announces_leaving: whether answers announce that the instance leaves.
    :ivar limit: limit that answers announce, in requests per second.
    :ivar reports_load: whether answers report the load.
    :ivar running: number of requests in progress.
    :ivar call_seconds: time that a call takes.
    :ivar loaded_at: event loop time in seconds at which loading ends.
    :ivar kept_layers: layers held both before and after the last order; only
        these serve while the others load.
    """

    listed: chain.Upstream
    orders_taken: int = 0
    is_dead: bool = False
    is_unresponsive: bool = False
    is_suspended: bool = False
    silent_until: float = float("-inf")
    rejected_requests: int = 0
    lost_answers: int = 0
    break_stream_after: int = -1
    breaks_every_stream: bool = False
    failed_calls: int = 0
    filler: bytes = b""
    hanging_streams: int = 0
    misattributed_answers: int = 0
    reset_connections: int = 0
    refuses_repaths: bool = False
    backoff: float = 0.0
    announces_leaving: bool = False
    limit: float | None = None
    reports_load: bool = False
    running: int = 0
    call_seconds: float = 0.02
    late_orders: list[plan.Move] = attrs.field(factory=list)
    loaded_at: float = float("-inf")
    kept_layers: pipeline.LayerRange | None = None

    @property
    def is_loading(self) -> bool:
        """Whether it is still loading layers."""
        return anyio.current_time() < self.loaded_at

    @property
    def answers(self) -> bool:
        """Whether it answers requests now."""
        return not (self.is_dead or self.is_unresponsive or self.is_silent)

    @property
    def is_silent(self) -> bool:
        """Whether it is silent, and will go on."""
        return anyio.current_time() < self.silent_until

    async def wait_while_silent(self) -> None:
        """Wait until it reads and writes again."""
        while self.is_silent:
            await anyio.sleep_until(self.silent_until)

    @property
    def backpressure(self) -> pressures.Backpressure:
        """Backpressure that an answer to an accepted request announces."""
        return pressures.Backpressure(
            requests_per_second=self.limit, is_leaving=self.announces_leaving
        )

    @property
    def load(self) -> interfaces.Load | None:
        """The load that answers report, or ``None``."""
        if not self.reports_load:
            return None
        return interfaces.Load(self.running, 0, self.listed.slots)


@attrs.frozen
class Run:
    """One run of a request at an upstream.

    :ivar last_event_id: id of the last event that the caller already has.
    :ivar started_at: event loop time in seconds.
    """

    upstream: str
    request: str
    last_event_id: int
    path: str
    team: str
    body: bytes = b""
    started_at: float = 0.0
    prompt_parts: tuple[str, ...] = ()


@attrs.define(eq=False)
class StreamRun:
    """One run of a stream, and what it sent.

    :ivar started_at: event loop time in seconds.
    :ivar addresses: addresses of the engines on its paths.
    :ivar event_count: number of whole events that it sent.
    :ivar is_lost: whether it ended by a fault of an engine.
    """

    request: str
    started_at: float
    addresses: set[str] = attrs.field(factory=set)
    event_count: int = 0
    is_lost: bool = False


@attrs.frozen
class EngineCrash:
    """One crash of an upstream, caused by a request that it ran.

    :ivar at: event loop time of the crash, in seconds.
    """

    target: StandinUpstream
    upstream: str
    body: bytes
    at: float


class ChainFleet:
    """Stand-in upstreams by address, in one process.

    :ivar stream_runs: the runs of streams so far.
    :ivar rejection_counts: number of rejections by upstream name.
    :ivar repaths: ids of the requests that moved to another path.
    :ivar crashing_bodies: a request with one of these bodies crashes each
        upstream that begins it.
    :ivar crashing_parts: a request crashes each upstream that begins it if
        one of these is a part of its prompt, other than the last.
    :ivar crashes: the crashes so far.
    :ivar repeat_counters: requests and arrivals by service name.
    :ivar is_link_stalled: while set, messages wait; none is lost.
    :ivar events: number of events in each stream.
    :ivar event_seconds: time between two events of a stream.
    :ivar load_seconds: time to load all layers; the time for fewer layers is
        proportional.
    """

    def __init__(self, layer_count: int = 80) -> None:
        self._layer_count = layer_count
        self._upstreams: dict[str, StandinUpstream] = {}
        # By the first engine's address and the request, which may be open at
        # several first engines.
        self._paths: dict[tuple[str, str], chain.ChainPath] = {}
        self.runs: list[Run] = []
        self.stream_runs: list[StreamRun] = []
        self.rejection_counts: collections.Counter[str] = collections.Counter()
        self.repaths: list[str] = []
        self.crashing_bodies: set[bytes] = set()
        self.crashing_parts: set[str] = set()
        self.crashes: list[EngineCrash] = []
        self.repeat_counters: dict[str, repeats.RepeatCounter] = (
            collections.defaultdict(repeats.RepeatCounter)
        )
        self._unread: list[tuple[StandinUpstream, str]] = []
        self.is_link_stalled = False
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
        """Return the runs of a request."""
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
        target = await self._dial(upstream, timeouts.connect_seconds)
        await self._wait_until_read(target, request)
        is_replaced = target.listed.incarnation.id != upstream.incarnation.id
        if is_replaced or target.rejected_requests:
            target.rejected_requests = max(0, target.rejected_requests - 1)
            self.rejection_counts[target.listed.name] += 1
            yield self._rejection(target, request, 503, "")
            return
        culprit = self._find_misplaced_hop(dispatch.path)
        if culprit is not None:
            self.rejection_counts[target.listed.name] += 1
            yield self._rejection(target, request, 421, culprit)
            return
        self.runs.append(
            Run(
                target.listed.name,
                request.id,
                dispatch.last_event_id,
                str(dispatch.path or ""),
                dispatch.team,
                request.body,
                anyio.current_time(),
                request.prompt_parts,
            )
        )
        target.running += 1
        try:
            if dispatch.path is not None:
                self._paths[path_key(upstream, request.id)] = dispatch.path
            else:
                await self._run_call(target, request)
            if target.lost_answers:
                target.lost_answers -= 1
                raise _upstream_lost(verdicts.Verdict.MAY_HAVE_RUN)
            yield self._answer(target, request, dispatch)
        finally:
            target.running -= 1

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        """Return an engine's report."""
        target = await self._dial(upstream, 0.25)
        await _await_answer(target)
        stalls = [
            chain.Stall(request, str(hop.upstream.address))
            for (_, request), path in self._paths.items()
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
            raise errors.InstanceGone(
                f"{upstream.name}: expected the process started at "
                f"{upstream.incarnation.started_ms} ms, "
                f"found one started at {report.started_ms} ms"
            )
        return report

    async def repath(
        self, head: chain.Upstream, request_id: str, path: chain.ChainPath
    ) -> interfaces.RepathOutcome:
        """Move a running request to another path."""
        target = await self._dial(head, 0.25)
        await _await_answer(target)
        key = path_key(head, request_id)
        if key not in self._paths:
            return interfaces.RepathOutcome(is_done=False, is_known=False)
        if self.at(head.address).refuses_repaths:
            return interfaces.RepathOutcome(is_done=False, is_known=True)
        for hop in path.hops:
            engine = self._upstreams.get(str(hop.upstream.address))
            if engine is not None and engine.is_unresponsive:
                await anyio.sleep(UNRESPONSIVE_HOP_SECONDS)
                return interfaces.RepathOutcome(
                    False, True, str(hop.upstream.address)
                )
            if not self._holds(hop):
                return interfaces.RepathOutcome(
                    False, True, str(hop.upstream.address)
                )
        self._paths[key] = path
        self.repaths.append(request_id)
        return interfaces.RepathOutcome(is_done=True, is_known=True)

    async def place(
        self, move: plan.Move, expected_orders: int, fencing_token: int
    ) -> bool:
        """Order an engine to hold other layers.

        Implements ``placement.controller.OrderClient``; the fencing token is
        not checked.

        Returns whether the order was accepted.
        """
        target = await self._dial(move.upstream, 0.25)
        await _await_answer(target)
        if target.orders_taken != expected_orders or target.is_loading:
            return False
        self.carry_out(target, move)
        return True

    def carry_out(self, target: StandinUpstream, move: plan.Move) -> None:
        """Replace the layers of an engine, as an accepted order does."""
        target.orders_taken += 1
        target.kept_layers = _intersect(target.listed.layers, move.layers)
        count = _size(move.layers) - _size(target.kept_layers)
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
                await self._wait_for_link()
        if target is None or target.is_dead:
            raise errors.InstanceGone(
                f"the upstream at {upstream.address} refuses connections"
            )
        if target.is_unresponsive:
            raise _upstream_lost(verdicts.Verdict.NOT_RUN)
        if target.reset_connections:
            target.reset_connections -= 1
            raise _upstream_lost(verdicts.Verdict.NOT_RUN)
        return target

    async def _wait_until_read(
        self, target: StandinUpstream, request: requests.CallerRequest
    ) -> None:
        """Wait until the instance reads a request, and record its arrival.

        :meth:`resume` records the arrivals at a suspended instance.
        """
        if target.is_suspended:
            self._unread.append((target, request.id))
            while target.is_suspended:
                await anyio.sleep(POLL_SECONDS)
            return
        self._record_arrival(target, request.id)
        await target.wait_while_silent()

    def resume(self, target: StandinUpstream) -> None:
        """Resume a suspended instance; it reads all pending requests."""
        target.is_suspended = False
        for unread_target, request_id in self._unread:
            if unread_target is target:
                self._record_arrival(unread_target, request_id)
        self._unread = [pair for pair in self._unread if pair[0] is not target]

    def _record_arrival(
        self, target: StandinUpstream, request_id: str
    ) -> None:
        counter = self.repeat_counters[target.listed.service]
        counter.count_arrival(request_id, anyio.current_time())

    def _find_misplaced_hop(self, path: chain.ChainPath | None) -> str | None:
        """Return the address of the first hop that cannot run its layers.

        That hop does not continue the previous one, or its engine does not
        hold its layers. ``None`` if the path is valid.
        """
        if path is None:
            return None
        next_layer = 0
        for hop in path.hops:
            if hop.layers.first != next_layer or not self._holds(hop):
                return str(hop.upstream.address)
            next_layer = hop.layers.end
        # No engine is at fault if the path ends before the last layer; the
        # address is one that no engine has.
        return None if next_layer == self._layer_count else "0.0.0.0:0"

    def _holds(self, hop: chain.Hop) -> bool:
        target = self._upstreams.get(str(hop.upstream.address))
        if target is None or target.is_dead or target.listed.layers is None:
            return False
        held = (
            target.kept_layers if target.is_loading else target.listed.layers
        )
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
            _single_piece(request.id.encode()),
            backpressure=target.backpressure,
            load=target.load,
        )

    async def _run_call(
        self, target: StandinUpstream, request: requests.CallerRequest
    ) -> None:
        await anyio.sleep(target.call_seconds)
        await target.wait_while_silent()
        await self._crash_if_requested(target, request)
        if target.is_unresponsive:
            await anyio.sleep_forever()

    async def _stream(
        self,
        target: StandinUpstream,
        request: requests.CallerRequest,
        dispatch: interfaces.Dispatch,
    ) -> typing.AsyncIterator[bytes]:
        run = StreamRun(request.id, anyio.current_time())
        self.stream_runs.append(run)
        try:
            async for piece in self._events(target, request, dispatch, run):
                yield piece
        except errors.CrowdeckError:
            run.is_lost = True
            raise

    async def _events(
        self,
        target: StandinUpstream,
        request: requests.CallerRequest,
        dispatch: interfaces.Dispatch,
        run: StreamRun,
    ) -> typing.AsyncIterator[bytes]:
        if target.hanging_streams:
            target.hanging_streams -= 1
            await anyio.sleep_forever()
        await self._crash_if_requested(target, request)
        for number in range(dispatch.last_event_id + 1, self.events):
            await anyio.sleep(self.event_seconds)
            while target.filler:
                yield target.filler
                await anyio.sleep(self.event_seconds)
            await self._wait_for_path(target, request.id, run)
            await self._wait_for_link()
            if target.break_stream_after == run.event_count:
                if not target.breaks_every_stream:
                    target.break_stream_after = -1
                # A broken stream ends within an event.
                yield event(request.id, number)[:5]
                raise _upstream_lost(verdicts.Verdict.MAY_HAVE_RUN)
            yield event(request.id, number)
            run.event_count += 1

    async def _crash_if_requested(
        self, target: StandinUpstream, request: requests.CallerRequest
    ) -> None:
        """Crash the upstream if the request has a crashing body or part."""
        has_crashing_part = not self.crashing_parts.isdisjoint(
            request.shared_parts
        )
        if request.body not in self.crashing_bodies and not has_crashing_part:
            return
        await anyio.sleep(CRASH_DELAY_SECONDS)
        if not target.is_dead:
            target.is_dead = True
            now = anyio.current_time()
            crash = EngineCrash(target, target.listed.name, request.body, now)
            self.crashes.append(crash)
        raise _upstream_lost(verdicts.Verdict.MAY_HAVE_RUN)

    async def _wait_for_link(self) -> None:
        while self.is_link_stalled:
            await anyio.sleep(POLL_SECONDS)

    async def _wait_for_path(
        self, target: StandinUpstream, request_id: str, run: StreamRun
    ) -> None:
        waited = 0.0
        while True:
            await target.wait_while_silent()
            if target.is_unresponsive:
                await anyio.sleep_forever()
            if target.is_dead or waited > STALL_SECONDS:
                raise _upstream_lost(verdicts.Verdict.MAY_HAVE_RUN)
            path = self._paths[path_key(target.listed, request_id)]
            run.addresses.update(
                str(hop.upstream.address) for hop in path.hops
            )
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
        answer_backpressure = pressures.NONE
        if status == 503:
            answer_backpressure = attrs.evolve(
                target.backpressure, backoff_seconds=target.backoff
            )
        return chain_answer.StandinAnswer(
            status,
            request.id,
            _single_piece(b""),
            has_not_run=True,
            culprit=culprit,
            backpressure=answer_backpressure,
        )


class MessageKind(enum.Enum):
    """Kind of a message: a call, a question for a report, or a repath."""

    REQUEST = "request"
    QUESTION = "question"
    ORDER = "order"


@attrs.frozen
class SentMessage:
    """One message from an entry to an instance.

    :ivar sent_at: event loop time in seconds.
    :ivar request_arrived_at: event loop time at which the caller's request
        reached the entry; 0 for other messages.
    """

    upstream: str
    kind: MessageKind
    sent_at: float
    request_arrived_at: float


class FleetClient:
    """One entry's client; implements ``relay.interfaces.Upstreams``.

    :ivar sent_messages: every message that the entry sent.
    """

    def __init__(self, fleet: ChainFleet) -> None:
        self._fleet = fleet
        self.sent_messages: list[SentMessage] = []
        self._listeners: list[interfaces.NoticeListener] = []

    def subscribe(self, listener: interfaces.NoticeListener) -> None:
        """Call ``listener`` with the notice in each answer."""
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
        self._record(upstream, MessageKind.REQUEST, request.arrived)
        async with self._fleet.open(
            upstream, request, dispatch, timeouts
        ) as answer:
            self._notify(
                upstream, interfaces.Notice(answer.backpressure, answer.load)
            )
            yield answer

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        """Return an engine's report."""
        self._record(upstream, MessageKind.QUESTION)
        report = await self._fleet.report(upstream)
        self._notify_backpressure(upstream)
        return report

    async def repath(
        self, head: chain.Upstream, request_id: str, path: chain.ChainPath
    ) -> interfaces.RepathOutcome:
        """Move a running request to another path."""
        self._record(head, MessageKind.ORDER)
        outcome = await self._fleet.repath(head, request_id, path)
        self._notify_backpressure(head)
        return outcome

    def _record(
        self,
        upstream: chain.Upstream,
        kind: MessageKind,
        request_arrived_at: float = 0.0,
    ) -> None:
        now = anyio.current_time()
        self.sent_messages.append(
            SentMessage(upstream.name, kind, now, request_arrived_at)
        )

    def _notify_backpressure(self, upstream: chain.Upstream) -> None:
        current = self._fleet.at(upstream.address).backpressure
        self._notify(
            upstream, interfaces.Notice(current, answers_request=False)
        )

    def _notify(
        self, upstream: chain.Upstream, notice: interfaces.Notice
    ) -> None:
        for listener in self._listeners:
            listener(upstream, notice)


def event(request_id: str, number: int) -> bytes:
    """Return one event as it is sent."""
    return f"id: {number}\ndata: {request_id}:{number}\n\n".encode()


def split_layers(
    layer_count: int, range_count: int
) -> list[pipeline.LayerRange]:
    """Split layers 0 to ``layer_count - 1`` into adjacent ranges."""
    bounds = [
        layer_count * index // range_count for index in range(range_count + 1)
    ]
    return [
        pipeline.LayerRange(first, end)
        for first, end in zip(bounds, bounds[1:], strict=False)
    ]


def path_key(head: chain.Upstream, request_id: str) -> tuple[str, str]:
    """Return what identifies a request at its first engine."""
    return str(head.address), request_id


def _size(layers: pipeline.LayerRange | None) -> int:
    return layers.end - layers.first if layers else 0


def _intersect(
    held: pipeline.LayerRange | None, wanted: pipeline.LayerRange
) -> pipeline.LayerRange | None:
    """Return the layers in both ranges, or ``None`` if there are none."""
    if held is None:
        return None
    first, end = max(held.first, wanted.first), min(held.end, wanted.end)
    return pipeline.LayerRange(first, end) if first < end else None


async def _await_answer(target: StandinUpstream) -> None:
    """Wait for an upstream that may be silent, as a client with a timeout.

    :raises CrowdeckError: ``UPSTREAM_LOST`` if it stays silent.
    """
    with anyio.move_on_after(ANSWER_TIMEOUT_SECONDS):
        await target.wait_while_silent()
        return
    raise _upstream_lost(verdicts.Verdict.MAY_HAVE_RUN)


async def _single_piece(piece: bytes) -> typing.AsyncIterator[bytes]:
    yield piece


def _upstream_lost(verdict: verdicts.Verdict) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.UPSTREAM_LOST,
        "the connection to the upstream was lost",
        verdict=verdict,
    )
