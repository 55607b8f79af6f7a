# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The entry: the process that receives callers' requests."""

import json
import random
import time

import anyio
import anyio.abc
import attrs
from starlette import applications

from crowdeck import availability_zone as zones
from crowdeck.entry import admission as admissions
from crowdeck.entry import answers as answers_module
from crowdeck.entry import driver
from crowdeck.entry import http
from crowdeck.entry import keys
from crowdeck.entry import service_calls
from crowdeck.entry import turns
from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.membership import directory as directories
from crowdeck.membership import fleet as fleets
from crowdeck.membership import links as links_module
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.observe import traces
from crowdeck.routing import planner as planners
from crowdeck.routing import policies
from crowdeck.routing import retry
from crowdeck.settings import holder as settings_holder
from crowdeck.state import claims as claims_module
from crowdeck.state import objects as stores
from crowdeck import timers
from crowdeck.wire import link
from crowdeck.wire import messages
from crowdeck.wire import questions

FLEET_REFRESH_SECONDS = 1.0
IDLE_POLL_SECONDS = 0.05


@attrs.frozen
class EntryOptions:
    """Options of an entry.

    :ivar request_limit: maximum number of requests in progress, of all teams
        together.
    :ivar policy: name of the policy by which paths are chosen.
    """

    name: str
    availability_zone: str
    request_limit: int = 2_000
    policy: str = policies.CROWDECK
    limits: http.Limits = attrs.field(factory=http.Limits)
    zone_links: zones.ZoneLinks = attrs.field(factory=zones.ZoneLinks)


class EntryLinkHandler:
    """Handles the records and operators' questions on an entry's links."""

    def __init__(self, answers: answers_module.AnswerInboxes) -> None:
        self._answers = answers
        self.entry: Entry | None = None

    def on_opened(self, peer: link.Peer) -> None:
        """Handle a new link."""
        self._answers.on_opened(peer)

    def on_closed(self, peer: link.Peer) -> None:
        """Notify the requests whose answers arrived on a lost link."""
        self._answers.on_closed(peer)

    def on_record(self, peer: link.Peer, record: messages.Record) -> None:
        """Pass load reports to the fleet, other records to their request."""
        if isinstance(record, messages.Load):
            if self.entry is not None:
                self.entry.fleet.on_report(peer, record)
            return
        self._answers.on_record(peer, record)

    async def on_question(
        self, peer: link.Peer, question: questions.Question
    ) -> questions.Reply:
        """Answer an operator's question."""
        if self.entry is None:
            raise errors.CrowdeckError(
                errors.Code.NO_PATH, "this entry is starting", retry_after=1.0
            )
        match question:
            case questions.ReadStatus():
                return questions.Status(json.dumps(self.entry.status()))
            case questions.ReadSpans():
                return questions.Spans(self.entry.spans(question.trace))
            case questions.Drain():
                self.entry.begin_drain(question.limit)
                return questions.Done()
            case _:
                return await self._answers.on_question(peer, question)


class Entry:
    """Builds an entry's components, and starts and drains it."""

    def __init__(
        self,
        options: EntryOptions,
        handler: EntryLinkHandler,
        answers: answers_module.AnswerInboxes,
        transport: link.Transport,
        store: stores.ObjectStore,
        instance_list: stores.InstanceList,
        timer_service: timers.TimerService,
        tracer: traces.Tracer,
        tasks: anyio.abc.TaskGroup,
        randomness: random.Random | None = None,
        wall_clock: claims_module.WallClock = time.time,
    ) -> None:
        self._options = options
        self._timers = timer_service
        self._tracer = tracer
        self._tasks = tasks
        self._answers = answers
        rng = randomness or random.SystemRandom()
        self._directory = directories.Directory(instance_list)
        links = links_module.Links(self._directory, transport)
        self._fleet = fleets.Fleet(
            self._directory, links, timer_service, tasks, rng
        )
        self._settings = settings_holder.SettingsHolder(store)
        planner = planners.Planner(
            self._fleet,
            options.zone_links,
            options.availability_zone,
            rng,
            policies.make_policy(options.policy),
        )
        budgets = retry.RetryBudgets()
        claims = claims_module.ClaimsLedger(store, timer_service, wall_clock)
        self.driver_dependencies = driver.DriverDependencies(
            fleet=self._fleet,
            planner=planner,
            answers=answers,
            budgets=budgets,
            clock=timer_service,
            randomness=rng,
            tasks=tasks,
        )
        self.calls = service_calls.ServiceCalls(
            self._fleet,
            links,
            claims,
            budgets,
            timer_service,
            wall_clock,
            rng,
        )
        self._claims = claims
        self._keys = keys.AnswerKeys(claims, planner, wall_clock)
        self.turns = turns.SessionTurns(self._fleet, timer_service, tasks)
        self.admission = admissions.Admission(options.request_limit)
        self._drained = anyio.Event()
        handler.entry = self

    @property
    def fleet(self) -> fleets.Fleet:
        """The sidecars that this entry works with."""
        return self._fleet

    @property
    def settings(self) -> settings_holder.SettingsHolder:
        """The settings in force here."""
        return self._settings

    async def start(self) -> None:
        """Read the instance list, and begin to follow it and the settings."""
        await self._directory.refresh()
        await self._fleet.sync_with_directory()
        self._tasks.start_soon(self._directory.follow)
        self._timers.subscribe(
            "fleet", FLEET_REFRESH_SECONDS, self._fleet.sync_with_directory
        )
        self._timers.subscribe(
            "claims",
            claims_module.EPOCH_CHECK_SECONDS,
            self._claims.rewrite_outdated_claims,
        )
        self._tasks.start_soon(self._settings.follow)

    def build_app(self) -> applications.Starlette:
        """Return the ASGI application for callers."""
        return http.CallerApp(
            settings=self._settings,
            driver_dependencies=self.driver_dependencies,
            calls=self.calls,
            answer_keys=self._keys,
            session_turns=self.turns,
            admission=self.admission,
            tracer=self._tracer,
            limits=self._options.limits,
        ).build()

    def begin_drain(self, limit: float) -> None:
        """Begin a planned stop in the background."""
        self._tasks.start_soon(self.drain, limit)

    async def drain(self, limit: float) -> bool:
        """Refuse new requests and wait until running ones have ended.

        :param limit: seconds to wait at most.
        :return: whether nothing was left running.
        """
        if not self.admission.is_leaving:
            self.admission.leave()
            logs.change("leaving", instance=self._options.name)
        with anyio.move_on_after(limit):
            while self.admission.running:
                await anyio.sleep(IDLE_POLL_SECONDS)
        is_idle = self.admission.running == 0
        logs.change("drained", instance=self._options.name, is_idle=is_idle)
        self._drained.set()
        return is_idle

    async def wait_drained(self) -> None:
        """Return once a planned stop has ended."""
        await self._drained.wait()

    def spans(self, trace: str) -> tuple[str, ...]:
        """Return the kept spans of one trace."""
        return self._tracer.find(trace)

    def status(self) -> dict[str, object]:
        """Return the status of this process for operators."""
        return {
            "instance": self._options.name,
            "role": str(instances.Role.ENTRY),
            "generation": self._settings.generation,
            "is_leaving": self.admission.is_leaving,
            "running": self.admission.running,
            "sidecars": [
                _view_status(view)
                for view in sorted(self._fleet.views, key=lambda v: v.name)
            ],
            "counters": counters.COUNTERS.as_dict(),
        }


def _view_status(view: fleets.SidecarView) -> dict[str, object]:
    load = view.load
    return {
        "name": view.name,
        "availability_zone": view.instance.availability_zone,
        "state": str(view.state),
        "offers": [
            f"{offer.model}/{offer.version} "
            f"layers {offer.layers.first}-{offer.layers.end - 1}"
            for offer in view.offers
        ],
        "services": list(load.services) if load is not None else [],
        "running": load.running if load is not None else 0,
        "step_ms": round(load.batch_seconds * 1000, 3) if load else 0.0,
    }
