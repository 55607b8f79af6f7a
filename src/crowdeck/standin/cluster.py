# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A small system in one process, over TCP on loopback.

The demo and the end-to-end tests use it. It has a store, engines in three
availability zones, plain services, their sidecars, and entries. Entries and
sidecars run the same code as ``crowdeckd``.
"""

import contextlib
import typing

import anyio
import anyio.abc
import attrs
import capnp

from crowdeck.cmd import http_server
from crowdeck.cmd import process as processes
from crowdeck import instance as instances
from crowdeck import pipeline
from crowdeck.settings import config as configs
from crowdeck.settings import editor
from crowdeck.standin import engine as engines
from crowdeck.standin import engine_http
from crowdeck.standin import model as models
from crowdeck.standin import service as services
from crowdeck.standin import store as stores
from crowdeck.standin import store_http
from crowdeck import team as teams

HOST = "127.0.0.1"
ZONES = ("plateau", "almadies", "pikine")
MODEL = "desk-assistant"
LAYER_COUNT = 12
KIOSKS_KEY = "kiosks-demo-key"
SURVEYORS_KEY = "surveyors-demo-key"

SETTINGS = f"""\
[defaults]
deadline_seconds = 60
window = 64

[service:records]
repeatable = no

[service:maps]
repeatable = yes
ordered = yes
companions = yes

[team:kiosks]
keys_sha256 = {teams.hash_key(KIOSKS_KEY)}
services = records
concurrency = 200

[team:surveyors]
keys_sha256 = {teams.hash_key(SURVEYORS_KEY)}
services = maps
"""


@attrs.frozen
class ClusterOptions:
    """Size and settings of a cluster.

    :ivar replicas: number of engines for each stage.
    :ivar batch_seconds: time of one engine batch.
    """

    entries: int = 2
    stages: int = 3
    replicas: int = 2
    batch_seconds: float = 0.002
    settings: str = SETTINGS


@attrs.define(eq=False)
class Member:
    """One entry or sidecar of the cluster."""

    name: str
    process: processes.Process
    running: processes.RunningProcess
    scope: anyio.CancelScope
    is_alive: bool = True


class Cluster:
    """A running system; an async context manager."""

    def __init__(self, options: ClusterOptions | None = None) -> None:
        self._options = options or ClusterOptions()
        self._stack = contextlib.AsyncExitStack()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._store_url = ""
        self.model = models.StandinModel(f"{MODEL}/1", LAYER_COUNT)
        self.store = stores.StandinStore(delay=0.0)
        self.service = services.StandinService(delay=0.01)
        self.engines: dict[str, engines.StandinEngine] = {}
        self.sidecars: dict[str, Member] = {}
        self.entries: dict[str, Member] = {}

    async def __aenter__(self) -> "Cluster":
        await self._stack.enter_async_context(capnp.kj_loop())
        self._tasks = await self._stack.enter_async_context(
            anyio.create_task_group()
        )
        port = await self._serve(store_http.StoreApp(self.store).build())
        self._store_url = f"http://{HOST}:{port}"
        settings = editor.SettingsEditor(self.store)
        await settings.apply(editor.EMPTY, self._options.settings)
        await self._start_sidecars()
        for index in range(self._options.entries):
            await self._start_entry(f"entry-{index}", index)
        await self._wait_ready()
        return self

    async def __aexit__(self, *exc_info: typing.Any) -> None:
        assert self._tasks is not None
        self._tasks.cancel_scope.cancel()
        await self._stack.__aexit__(*exc_info)

    @property
    def urls(self) -> list[str]:
        """Base URLs of the running entries."""
        return [
            f"http://{HOST}:{member.running.http_port}"
            for member in self.entries.values()
            if member.is_alive
        ]

    @property
    def store_url(self) -> str:
        """Base URL of the platform stand-in."""
        return self._store_url

    def stage_names(self, stage: int) -> list[str]:
        """Return the names of a stage's sidecars."""
        return [
            f"engine-{stage}-{replica}"
            for replica in range(self._options.replicas)
        ]

    def kill(self, name: str) -> None:
        """End a process without draining it, as a crash would."""
        member = self.sidecars.get(name) or self.entries[name]
        member.is_alive = False
        member.scope.cancel()

    def unlist(self, name: str) -> None:
        """Remove an instance from the platform's list."""
        self.store.remove_instance(name)

    async def _serve(self, app: typing.Any) -> int:
        assert self._tasks is not None
        port: int = await self._tasks.start(
            http_server.serve_http, app, HOST, 0
        )
        return port

    async def _start_sidecars(self) -> None:
        layers = LAYER_COUNT // self._options.stages
        for stage in range(self._options.stages):
            for replica, name in enumerate(self.stage_names(stage)):
                offer = pipeline.Offer(
                    model=MODEL,
                    version="1",
                    adapter="",
                    layers=pipeline.LayerRange(
                        stage * layers, (stage + 1) * layers
                    ),
                    layer_count=LAYER_COUNT,
                    accelerator=f"kind-{replica}",
                )
                zone = ZONES[(stage + replica) % len(ZONES)]
                await self._start_engine(name, offer, zone, replica)
        port = await self._serve(self.service.build())
        url = f"http://{HOST}:{port}"
        await self._start_sidecar(
            "records-0", ZONES[0], f"services = records={url} maps={url}"
        )

    async def _start_engine(
        self, name: str, offer: pipeline.Offer, zone: str, replica: int
    ) -> None:
        # Replica N has an accelerator that is N + 1 times as slow as that of
        # replica 0.
        speed = engines.EngineSpeed(
            batch_seconds=self._options.batch_seconds * (1 + replica)
        )
        engine = engines.StandinEngine(self.model, offer, speed)
        self.engines[name] = engine
        port = await self._serve(engine_http.EngineApp(engine).build())
        await self._start_sidecar(
            name, zone, f"engine_url = http://{HOST}:{port}"
        )

    async def _start_sidecar(self, name: str, zone: str, line: str) -> None:
        text = (
            self._daemon_config("sidecar", name, zone) + f"[sidecar]\n{line}\n"
        )
        member = await self._start(name, text)
        self.sidecars[name] = member
        self._add_to_instance_list(member, instances.Role.SIDECAR, zone)

    async def _start_entry(self, name: str, index: int) -> None:
        zone = ZONES[index % len(ZONES)]
        text = self._daemon_config("entry", name, zone)
        text += f"[entry]\nhttp_host = {HOST}\n"
        member = await self._start(name, text)
        self.entries[name] = member
        self._add_to_instance_list(member, instances.Role.ENTRY, zone)

    def _daemon_config(self, role: str, name: str, zone: str) -> str:
        return (
            f"[crowdeckd]\nrole = {role}\nname = {name}\n"
            f"availability_zone = {zone}\nhost = {HOST}\n"
            f"[platform]\nurl = {self._store_url}\n"
        )

    def _add_to_instance_list(
        self, member: Member, role: instances.Role, zone: str
    ) -> None:
        self.store.add_instance(
            instances.Instance(
                name=member.name,
                role=role,
                availability_zone=zone,
                address=member.running.address,
            )
        )

    async def _start(self, name: str, text: str) -> Member:
        assert self._tasks is not None
        process = processes.Process(configs.parse(text))
        scope = anyio.CancelScope()
        running = await self._tasks.start(_run, process, scope)
        return Member(name, process, running, scope)

    async def _wait_ready(self) -> None:
        """Wait until each entry has settings and can use every sidecar."""
        expected_count = len(self.sidecars)
        for member in self.entries.values():
            entry = member.running.component
            while not self._is_ready(entry, expected_count):
                await anyio.sleep(0.02)

    def _is_ready(self, entry: typing.Any, expected_count: int) -> bool:
        return (
            len(entry.fleet.usable) == expected_count
            and entry.settings.has_tree
        )


async def _run(
    process: processes.Process,
    scope: anyio.CancelScope,
    *,
    task_status: anyio.abc.TaskStatus[processes.RunningProcess],
) -> None:
    with scope:
        await process.run(task_status=task_status)
