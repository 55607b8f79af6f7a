# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The sidecar: the process beside an upstream, which sends requests to it."""

import json

import anyio
import anyio.abc

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.membership import links as links_module
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.observe import traces
from crowdeck import pipeline
from crowdeck.sidecar import batcher as batchers
from crowdeck.sidecar import calls as calls_module
from crowdeck.sidecar import gate as gates
from crowdeck.sidecar import kv_transfer
from crowdeck.sidecar import stage as stages
from crowdeck.sidecar import turns as turns_module
from crowdeck import timers
from crowdeck import upstream
from crowdeck.wire import link
from crowdeck.wire import messages
from crowdeck.wire import questions

IDLE_POLL_SECONDS = 0.05
# Interval of load reports. Each is sent to one entry, and only if the number
# of running attempts and calls differs from that in the entry's last report.
REPORT_SECONDS = 0.25


class Sidecar:
    """Handles the links of a sidecar's process.

    It implements :class:`crowdeck.wire.link.Handler`. Its upstreams are an
    engine, plain services (other HTTP upstreams), or both.
    """

    def __init__(
        self,
        name: str,
        engine: upstream.Engine | None,
        services: dict[str, upstream.PlainService],
        resolver: links_module.InstanceResolver,
        timer_service: timers.TimerService,
        tracer: traces.Tracer,
        tasks: anyio.abc.TaskGroup,
        incarnation: int | None = None,
    ) -> None:
        self._name = name
        self._timers = timer_service
        self._tracer = tracer
        self._tasks = tasks
        self._engine = engine
        self._resolver = resolver
        self._offer: pipeline.Offer | None = None
        self._gate = gates.Gate(
            incarnation or instances.new_incarnation(), timer_service
        )
        self._calls = calls_module.CallRunner(
            services, self._gate, timer_service, tracer, tasks
        )
        self._turns = turns_module.TurnQueues(timer_service)
        self._batcher: batchers.Batcher | None = None
        self._stage: stages.Stage | None = None
        self._kv_transfers: kv_transfer.KvTransfers | None = None
        self._drained = anyio.Event()
        self._peers: set[link.Peer] = set()
        # By entry: the number of running attempts and calls last reported to
        # it, and the value of _reports_sent from which it is reported again.
        self._last_reports: dict[str, tuple[int, int]] = {}
        self._reports_sent = 0

    @property
    def incarnation(self) -> int:
        """The incarnation of this process."""
        return self._gate.incarnation

    @property
    def running(self) -> int:
        """Attempts and calls in progress."""
        in_stage = (
            self._stage.registry.running if self._stage is not None else 0
        )
        return in_stage + self._calls.running

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self._gate.is_leaving

    async def start(self, transport: link.Transport) -> None:
        """Start the timers, and the engine's stage if there is an engine."""
        self._timers.subscribe("calls", 1.0, self._calls.sweep)
        self._timers.subscribe("report", REPORT_SECONDS, self._report)
        self._timers.subscribe("turns", 0.25, self._turns.sweep)
        if self._engine is None:
            return
        self._offer = await self._engine.describe()
        self._batcher = batchers.Batcher(
            self._engine, self._timers, self._offer.batch_limit
        )
        self._tasks.start_soon(self._batcher.run)
        links = links_module.Links(self._resolver, transport)
        self._stage = stages.Stage(
            instance=self._name,
            gate=self._gate,
            batcher=self._batcher,
            engine=self._engine,
            links=links,
            clock=self._timers,
            tracer=self._tracer,
            tasks=self._tasks,
        )
        self._kv_transfers = kv_transfer.KvTransfers(
            self._stage, self._engine, links
        )
        self._timers.subscribe(
            "stage", stages.SWEEP_SECONDS, self._stage.registry.sweep
        )

    # Implementation of link.Handler.

    def on_opened(self, peer: link.Peer) -> None:
        """Add a new link."""
        counters.COUNTERS.add("link.opened")
        self._peers.add(peer)

    def on_closed(self, peer: link.Peer) -> None:
        """Remove a lost link, and notify what uses it."""
        counters.COUNTERS.add("link.closed")
        self._peers.discard(peer)
        self._turns.on_closed(peer)
        if self._stage is not None:
            self._stage.registry.on_closed(peer)

    def on_record(self, peer: link.Peer, record: messages.Record) -> None:
        """Pass a record to the stage."""
        stage = self._stage
        if stage is None:
            counters.COUNTERS.add("sidecar.record_without_engine")
            return
        match record:
            case messages.Step():
                stage.on_step(peer, record)
            case messages.Token():
                stage.on_token(peer, record)
            case messages.Prefill():
                stage.on_prefill(peer, record)
            case messages.Credit():
                stage.head.on_credit(peer, record)
            case messages.Failure():
                stage.on_failure(peer, record)
            case messages.Cancel():
                stage.on_cancel(peer, record)
            case _:
                counters.COUNTERS.add("sidecar.record_not_for_us")

    async def on_question(
        self, peer: link.Peer, question: questions.Question
    ) -> questions.Reply:
        """Answer a question; errors become ``Refused`` at the link."""
        match question:
            case questions.Heartbeat():
                return self._load()
            case questions.Open():
                stage = self._require_stage()
                if question.opening.warm_position >= 0:
                    await stage.wait_until_idle(question.opening.request)
                stage.open(peer, question.opening)
                return questions.Done()
            case questions.Attach():
                return self._require_stage().head.attach(peer, question)
            case questions.Call():
                return await self._calls.call(question)
            case questions.Collect():
                return await self._calls.collect(question)
            case questions.Seal():
                return questions.Sealed(
                    self._gate.seal(
                        question.request, question.epoch, question.incarnation
                    )
                )
            case questions.TakeTurn():
                await self._turns.take(peer, question)
                return questions.Done()
            case questions.EndTurn():
                self._turns.end(question)
                return questions.Done()
            case _:
                return await self._on_other_question(question)

    async def _on_other_question(
        self, question: questions.Question
    ) -> questions.Reply:
        match question:
            case questions.MoveOut():
                return await self._require_kv_transfers().move_out(question)
            case questions.ImportKv():
                return await self._require_kv_transfers().import_kv(question)
            case questions.Drain():
                self.begin_drain(question.limit)
                return questions.Done()
            case questions.ReadStatus():
                return questions.Status(json.dumps(self.status()))
            case questions.ReadSpans():
                return questions.Spans(self._tracer.find(question.trace))
            case _:
                raise errors.CrowdeckError(
                    errors.Code.MALFORMED,
                    f"a sidecar does not answer {type(question).__name__}",
                )

    # Planned stop.

    def begin_drain(self, limit: float) -> None:
        """Begin a planned stop in the background."""
        self._tasks.start_soon(self.drain, limit)

    async def drain(self, limit: float) -> bool:
        """Refuse new work and wait until running work has ended.

        :param limit: seconds to wait at most.
        :return: whether nothing was left running.
        """
        if not self._gate.is_leaving:
            self._gate.leave()
            self._turns.leave()
            logs.change("leaving", instance=self._name)
            # Heartbeats may be far apart, so all entries are notified at once.
            for peer in self._entry_peers:
                peer.send(self._load())
        with anyio.move_on_after(limit):
            while self.running:
                await anyio.sleep(IDLE_POLL_SECONDS)
        is_idle = self.running == 0
        logs.change("drained", instance=self._name, is_idle=is_idle)
        self._drained.set()
        return is_idle

    async def wait_drained(self) -> None:
        """Return once a planned stop has ended."""
        await self._drained.wait()

    @property
    def _entry_peers(self) -> list[link.Peer]:
        return [
            peer
            for peer in self._peers
            if peer.greeting.role == instances.Role.ENTRY
        ]

    async def _report(self) -> None:
        """Report the load to one entry, in turn, if it has changed.

        Only one report is sent per interval: with more entries, reports get
        older but do not cost more.
        """
        load = self._load()
        for peer in sorted(
            self._entry_peers,
            key=lambda entry_peer: entry_peer.greeting.instance,
        ):
            last_report = self._last_reports.get(
                peer.greeting.instance, (-1, 0)
            )
            if (
                last_report[0] != load.running
                and self._reports_sent >= last_report[1]
            ):
                peer.send(load)
                self._reports_sent += 1
                # Reports to other entries come first: as many as half of the
                # links, among which are those of other sidecars.
                self._last_reports[peer.greeting.instance] = (
                    load.running,
                    self._reports_sent + len(self._peers) // 2,
                )
                return

    def status(self) -> dict[str, object]:
        """Return the status of this process for operators."""
        return {
            "instance": self._name,
            "role": str(instances.Role.SIDECAR),
            "incarnation": self.incarnation,
            "is_leaving": self.is_leaving,
            "running": self.running,
            "sessions": self._turns.session_count,
            "counters": counters.COUNTERS.as_dict(),
        }

    def _load(self) -> messages.Load:
        batcher = self._batcher
        offers: tuple[messages.OfferNote, ...] = ()
        if self._offer is not None:
            offers = (messages.OfferNote.of(self._offer),)
        return messages.Load(
            incarnation=self.incarnation,
            is_leaving=self.is_leaving,
            offers=offers,
            services=self._calls.services,
            queued=batcher.queued if batcher is not None else 0,
            running=self.running,
            batch_seconds=batcher.times.batch_seconds if batcher else 0.0,
            token_seconds=batcher.times.token_seconds if batcher else 0.0,
        )

    def _require_stage(self) -> stages.Stage:
        if self._stage is None:
            raise errors.CrowdeckError(
                errors.Code.NOT_FOUND, "this sidecar has no engine"
            )
        return self._stage

    def _require_kv_transfers(self) -> kv_transfer.KvTransfers:
        self._require_stage()
        assert self._kv_transfers is not None
        return self._kv_transfers
