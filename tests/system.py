# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A complete in-memory system for tests in virtual time, with faults."""

import collections
import contextlib
import random
import typing

import anyio
import attrs

from crowdeck import contract as contracts
from crowdeck.entry import answers as answers_module
from crowdeck.entry import driver
from crowdeck.entry import entry as entries
from crowdeck.entry import model_request as model_requests
from crowdeck.entry import service_calls
from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.observe import traces
from crowdeck import pipeline
from crowdeck.settings import editor
from crowdeck.sidecar import sidecar as sidecars
from crowdeck.standin import engine as engines
from crowdeck.standin import model as models
from crowdeck.standin import network as networks
from crowdeck.standin import store as stores
from crowdeck import timers
from crowdeck import upstream
from crowdeck import verdict as verdicts
from crowdeck.wire import messages

MODEL = "desk"
LAYERS = 6
TRACER = traces.Tracer("test")


class CountingService:
    """A plain service that counts its runs."""

    def __init__(self, run_seconds: float = 0.02) -> None:
        self.run_seconds = run_seconds
        self.runs: collections.Counter[str] = collections.Counter()
        self.failure: errors.CrowdeckError | None = None
        self.order: list[str] = []

    async def call(
        self, request: upstream.ServiceRequest
    ) -> upstream.ServiceResponse:
        if self.failure is not None:
            raise self.failure
        name = request.body.decode() or request.path
        self.runs[name] += 1
        self.order.append(name)
        await anyio.sleep(self.run_seconds)
        text = f"{name} run {self.runs[name]}"
        return upstream.ServiceResponse(200, (), text.encode())


class Caller:
    """An answer sink that records what its caller receives.

    :ivar on_position: functions that are called once, when the token at
        their position arrives.
    """

    def __init__(self, seconds_per_piece: float = 0.0) -> None:
        self.seconds_per_piece = seconds_per_piece
        self.pieces: list[tuple[int, str]] = []
        self.location = ("", "")
        self.on_position: dict[int, typing.Callable[[], None]] = {}

    async def put(self, position: int, piece: messages.Piece) -> None:
        self.pieces.append((position, piece.text))
        if position in self.on_position:
            self.on_position.pop(position)()
        if self.seconds_per_piece:
            await anyio.sleep(self.seconds_per_piece)

    def set_location(self, epoch: int, head: str, tail: str) -> None:
        self.location = (head, tail)

    @property
    def texts(self) -> list[str]:
        assert [at for at, _ in self.pieces] == list(
            range(self.pieces[0][0], self.pieces[0][0] + len(self.pieces))
        ), "positions must be consecutive"
        return [text for _, text in self.pieces]


@attrs.define(eq=False)
class Node:
    """A running process, and the scope whose cancellation ends it."""

    scope: anyio.CancelScope
    process: typing.Any


class System:
    """Entries, sidecars, engines and a store on one memory network."""

    def __init__(
        self,
        stages: int = 3,
        replicas: int = 2,
        entries: int = 2,
        services: int = 2,
        seed: int = 1,
    ) -> None:
        self.stages = stages
        self.replicas = replicas
        self.entry_count = entries
        self.service_count = services
        self.random = random.Random(seed)
        self.model = models.StandinModel(f"{MODEL}/1", LAYERS)
        self.store = stores.StandinStore()
        self.service = CountingService()
        self.engines: dict[str, engines.StandinEngine] = {}
        self.nodes: dict[str, Node] = {}
        self.request_count = 0
        self._ports = iter(range(1, 10_000))
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "System":
        try:
            await self._start()
        except BaseException as error:
            # The task group raises the error of the task that has failed.
            await self._stack.__aexit__(type(error), error, None)
            raise
        return self

    async def _start(self) -> None:
        self.tasks = await self._stack.enter_async_context(
            anyio.create_task_group()
        )
        self.network = networks.MemoryNetwork(self.tasks)
        await editor.SettingsEditor(self.store).apply(
            editor.EMPTY, "[defaults]\n"
        )
        per_stage = LAYERS // self.stages
        for stage in range(self.stages):
            for replica in range(self.replicas):
                layers = pipeline.LayerRange(
                    stage * per_stage, (stage + 1) * per_stage
                )
                offer = pipeline.Offer(MODEL, "1", "", layers, LAYERS)
                await self.add_engine(f"s{stage}-{replica}", offer)
        for index in range(self.service_count):
            await self.add_sidecar(
                f"r{index}", None, {"records": self.service}
            )
        for index in range(self.entry_count):
            await self.add_entry(f"e{index}")
        await anyio.sleep(1.0)

    async def __aexit__(self, *exc_info: typing.Any) -> None:
        self.tasks.cancel_scope.cancel()
        await self._stack.__aexit__(*exc_info)

    async def add_engine(self, name: str, offer: pipeline.Offer) -> None:
        engine = self.engines.get(name)
        if engine is None:
            engine = engines.StandinEngine(self.model, offer)
            self.engines[name] = engine
        await self.add_sidecar(name, engine, {})

    async def add_sidecar(
        self,
        name: str,
        engine: upstream.Engine | None,
        services: dict[str, upstream.PlainService],
    ) -> None:
        await self.tasks.start(self._run_sidecar, name, engine, services)

    async def add_entry(self, name: str) -> None:
        await self.tasks.start(self._run_entry, name)

    def kill(self, name: str) -> None:
        """End a process at once."""
        self.network.kill(name)
        self.nodes[name].scope.cancel()

    def sidecar(self, name: str) -> sidecars.Sidecar:
        process = self.nodes[name].process
        assert isinstance(process, sidecars.Sidecar)
        return process

    def entry(self, index: int = 0) -> entries.Entry:
        process = self.nodes[f"e{index}"].process
        assert isinstance(process, entries.Entry)
        return process

    def expected(self, prompt: str, count: int) -> list[str]:
        return [piece.text for piece in self.model.answer(prompt, count)]

    def request(
        self, prompt: str, count: int = 20, **changes: typing.Any
    ) -> model_requests.ModelRequest:
        self.request_count += 1
        request = model_requests.ModelRequest(
            request=f"req{self.request_count}",
            team="kiosks",
            session="",
            model=MODEL,
            adapter="",
            prompt=prompt,
            max_tokens=count,
            seconds_left=60.0,
            priority=0,
            window=32,
        )
        return attrs.evolve(request, **changes)

    def make_driver(
        self,
        request: model_requests.ModelRequest,
        caller: Caller,
        entry: int = 0,
    ) -> driver.RequestDriver:
        return driver.RequestDriver(
            self.entry(entry).driver_dependencies,
            request,
            caller,
            TRACER.begin("test"),
        )

    async def answer(
        self, prompt: str, caller: Caller, count: int = 20, entry: int = 0
    ) -> str:
        request = self.request(prompt, count)
        return await self.make_driver(request, caller, entry).run()

    def service_call(
        self,
        body: str,
        key: str = "",
        is_repeatable: bool = False,
        seconds: float = 10.0,
    ) -> service_calls.ServiceCall:
        self.request_count += 1
        return service_calls.ServiceCall(
            request=f"call{self.request_count}",
            team="kiosks",
            service="records",
            contract=contracts.Contract(is_repeatable=is_repeatable),
            method="POST",
            path="/receipts",
            headers=(),
            body=body.encode(),
            key=key,
            deadline=anyio.current_time() + seconds,
            traceparent="",
        )

    async def _run_sidecar(
        self,
        name: str,
        engine: upstream.Engine | None,
        services: dict[str, upstream.PlainService],
        *,
        task_status: typing.Any,
    ) -> None:
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as tasks:
                timer_service = timers.TimerService()
                resolver = _Directory(self.store)
                sidecar = sidecars.Sidecar(
                    name=name,
                    engine=engine,
                    services=services,
                    resolver=resolver,
                    timer_service=timer_service,
                    tracer=TRACER,
                    tasks=tasks,
                    incarnation=self.random.getrandbits(62),
                )
                transport = self._join(
                    name, instances.Role.SIDECAR, sidecar.incarnation, sidecar
                )
                await sidecar.start(transport)
                tasks.start_soon(timer_service.run)
                self.nodes[name] = Node(scope, sidecar)
                task_status.started()
                await anyio.sleep_forever()

    async def _run_entry(self, name: str, *, task_status: typing.Any) -> None:
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as tasks:
                timer_service = timers.TimerService()
                answers = answers_module.AnswerInboxes()
                handler = entries.EntryLinkHandler(answers)
                transport = self._join(name, instances.Role.ENTRY, 1, handler)
                entry = entries.Entry(
                    options=entries.EntryOptions(name, "plateau"),
                    handler=handler,
                    answers=answers,
                    transport=transport,
                    store=self.store,
                    instance_list=self.store,
                    timer_service=timer_service,
                    tracer=TRACER,
                    tasks=tasks,
                    randomness=random.Random(self.random.getrandbits(32)),
                    wall_clock=anyio.current_time,
                )
                await entry.start()
                tasks.start_soon(timer_service.run)
                self.nodes[name] = Node(scope, entry)
                task_status.started()
                await anyio.sleep_forever()

    def _join(
        self,
        name: str,
        role: instances.Role,
        incarnation: int,
        handler: typing.Any,
    ) -> networks.MemoryTransport:
        address = instances.Address("127.0.0.1", next(self._ports))
        self.store.add_instance(
            instances.Instance(name, role, "plateau", address)
        )
        greeting = messages.Greeting(
            "test", name, str(role), "plateau", incarnation
        )
        return self.network.join(address, greeting, handler)


class _Directory:
    """A directory that is always up to date."""

    def __init__(self, store: stores.StandinStore) -> None:
        self._store = store

    def find(self, name: str) -> instances.Instance | None:
        return self._store.listed(name)

    async def refresh(self) -> None:
        """Do nothing: the directory is always up to date."""


def make_error(code: errors.Code) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        code, "made by a test", verdict=verdicts.Verdict.MAY_HAVE_RUN
    )
