# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Builds and runs an entry or a sidecar from its configuration."""

import contextlib

import anyio
import anyio.abc
import attrs
import statsd

from crowdeck.cmd import http_server
from crowdeck.entry import answers as answers_module
from crowdeck.entry import entry as entries
from crowdeck.entry import http as entry_http
from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck.membership import directory as directories
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.observe import traces
from crowdeck.platform import store as platform_store
from crowdeck.serving import account as accounts
from crowdeck.serving import limits as client_limits
from crowdeck.settings import config as configs
from crowdeck.sidecar import sidecar as sidecars
from crowdeck import timers
from crowdeck import upstream
from crowdeck import upstream_http
from crowdeck.wire import link
from crowdeck.wire import messages
from crowdeck.wire import rpc

START_RETRY_SECONDS = 0.5
# Parts of the connections of an entry for callers and for links.
CALLER_SHARE = 0.75
LINK_SHARE = 0.25
# Limits on callers, whose settings name none.
HEADER_BYTES = 16 * 1024
HEADER_SECONDS = 3.0
IDLE_SECONDS = 15.0


@attrs.frozen
class RunningProcess:
    """The addresses and the main object of a running process.

    :ivar address: where other instances reach it.
    :ivar http_port: where callers reach it; 0 for a sidecar.
    """

    address: instances.Address
    http_port: int
    component: entries.Entry | sidecars.Sidecar


class Process:
    """One entry or sidecar, built from its configuration.

    Run it inside ``capnp.kj_loop()``. One exit stack owns all resources and
    closes them in reverse order when the task is cancelled.
    """

    def __init__(self, config: configs.Config) -> None:
        self._config = config
        self._incarnation = instances.new_incarnation()
        self._timers = timers.TimerService()
        self._stop = anyio.Event()
        self._running: RunningProcess | None = None
        has_tls = bool(config.entry["tls_certificate"])
        self._account = accounts.Account(
            accounts.size_for(
                config.machine.memory_mb,
                config.machine.file_descriptors,
                has_tls=has_tls,
            )
        )

    @property
    def is_running(self) -> bool:
        """Whether the process has begun to serve."""
        return self._running is not None

    @property
    def running(self) -> RunningProcess:
        """The running process; valid after :meth:`run` reports the start."""
        assert self._running is not None, "the process has not started"
        return self._running

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[
            RunningProcess
        ] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until :meth:`stop` has drained it, or until cancelled."""
        async with contextlib.AsyncExitStack() as stack:
            tasks = await stack.enter_async_context(anyio.create_task_group())
            stack.callback(tasks.cancel_scope.cancel)
            tracer = self._open_tracer(stack)
            store = platform_store.HttpStore(
                self._open_client(stack, self._config.platform_url)
            )
            if self._config.role is instances.Role.ENTRY:
                running = await self._run_entry(stack, tasks, store, tracer)
            else:
                running = await self._run_sidecar(stack, tasks, store, tracer)
            self._open_statsd(stack)
            tasks.start_soon(self._timers.run)
            self._running = running
            logs.change(
                "started",
                instance=self._config.name,
                role=str(self._config.role),
                address=str(running.address),
            )
            task_status.started(running)
            await running.component.wait_drained()
            logs.change("stopped", instance=self._config.name)

    def reconfigure(self, config: configs.Config) -> None:
        """Apply a new stop time and request limit.

        All other options need a restart.
        """
        self._config = attrs.evolve(
            self._config, stop_seconds=config.stop_seconds
        )
        component = self._running.component if self._running else None
        if isinstance(component, entries.Entry):
            component.admission.limit = int(config.entry["request_limit"])
        logs.change("reconfigured", instance=self._config.name)

    async def stop(self, force: bool = False) -> None:
        """Let running requests finish, then stop; ``force`` skips the wait."""
        limit_seconds = 0.0 if force else self._config.stop_seconds
        await self.running.component.drain(limit_seconds)

    def _greeting(self) -> messages.Greeting:
        return messages.Greeting(
            cluster=self._config.cluster,
            instance=self._config.name,
            role=str(self._config.role),
            availability_zone=self._config.availability_zone,
            incarnation=self._incarnation,
        )

    def _open_tracer(self, stack: contextlib.AsyncExitStack) -> traces.Tracer:
        endpoint = str(self._config.observe["otlp_endpoint"])
        tracer = traces.Tracer(self._config.name, endpoint)
        stack.callback(tracer.close)
        return tracer

    def _open_client(
        self, stack: contextlib.AsyncExitStack, url: str
    ) -> http.HttpClient:
        client = http.HttpClient(url)
        stack.push_async_callback(client.close)
        return client

    def _open_statsd(self, stack: contextlib.AsyncExitStack) -> None:
        observe = self._config.observe
        if not observe["statsd_host"]:
            return
        client = statsd.StatsClient(
            str(observe["statsd_host"]),
            int(observe["statsd_port"]),
            prefix=f"crowdeck.{self._config.role}",
        )
        stack.callback(client.close)

        async def flush() -> None:
            counters.COUNTERS.flush(client)

        self._timers.subscribe(
            "statsd", float(observe["statsd_seconds"]), flush
        )

    async def _open_transport(
        self,
        stack: contextlib.AsyncExitStack,
        tasks: anyio.abc.TaskGroup,
        handler: link.Handler,
        link_share: float,
    ) -> tuple[rpc.RpcTransport, instances.Address]:
        transport = await stack.enter_async_context(
            rpc.RpcTransport(
                self._greeting(),
                handler,
                self._config.tls.load(),
                self._account.open_listener("links", link_share),
            )
        )
        address = await tasks.start(transport.serve, self._config.address)
        return transport, address

    async def _run_sidecar(
        self,
        stack: contextlib.AsyncExitStack,
        tasks: anyio.abc.TaskGroup,
        store: platform_store.HttpStore,
        tracer: traces.Tracer,
    ) -> RunningProcess:
        directory = directories.Directory(store)
        sidecar = sidecars.Sidecar(
            name=self._config.name,
            engine=self._open_engine(stack),
            services=self._open_services(stack),
            resolver=directory,
            timer_service=self._timers,
            tracer=tracer,
            tasks=tasks,
            incarnation=self._incarnation,
        )
        transport, address = await self._open_transport(
            stack, tasks, sidecar, link_share=1.0
        )
        await _start_when_ready(sidecar, transport)
        await directory.refresh()
        return RunningProcess(address, 0, sidecar)

    def _open_engine(
        self, stack: contextlib.AsyncExitStack
    ) -> upstream.Engine | None:
        url = str(self._config.sidecar["engine_url"])
        if not url:
            return None
        return upstream_http.HttpEngine(self._open_client(stack, url))

    def _open_services(
        self, stack: contextlib.AsyncExitStack
    ) -> dict[str, upstream.PlainService]:
        return {
            name: upstream_http.HttpService(self._open_client(stack, url))
            for name, url in self._config.services.items()
        }

    async def _run_entry(
        self,
        stack: contextlib.AsyncExitStack,
        tasks: anyio.abc.TaskGroup,
        store: platform_store.HttpStore,
        tracer: traces.Tracer,
    ) -> RunningProcess:
        answers = answers_module.AnswerInboxes()
        handler = entries.EntryLinkHandler(answers)
        transport, address = await self._open_transport(
            stack, tasks, handler, LINK_SHARE
        )
        section = self._config.entry
        entry = entries.Entry(
            options=entries.EntryOptions(
                name=self._config.name,
                availability_zone=self._config.availability_zone,
                request_limit=int(section["request_limit"]),
                policy=str(section["policy"]),
                limits=entry_http.Limits(int(section["body_bytes"])),
            ),
            handler=handler,
            answers=answers,
            transport=transport,
            store=store,
            instance_list=store,
            timer_service=self._timers,
            tracer=tracer,
            tasks=tasks,
        )
        await entry.start()
        port = await tasks.start(self._serve_http, entry)
        return RunningProcess(address, port, entry)

    async def _serve_http(
        self, entry: entries.Entry, *, task_status: anyio.abc.TaskStatus[int]
    ) -> None:
        section = self._config.entry
        await http_server.serve_http(
            entry.build_app(),
            str(section["http_host"]),
            int(section["http_port"]),
            certificate=str(section["tls_certificate"]),
            key=str(section["tls_key"]),
            intake=self._caller_intake(),
            task_status=task_status,
        )

    def _caller_intake(self) -> client_limits.Intake:
        machine = self._config.machine
        limits = client_limits.Limits(
            header_bytes=HEADER_BYTES,
            header_seconds=HEADER_SECONDS,
            idle_seconds=IDLE_SECONDS,
            body_seconds=machine.body_seconds,
            unread_seconds=machine.unread_seconds,
        )
        listener = self._account.open_listener("callers", CALLER_SHARE)
        return client_limits.Intake(listener, lambda: limits)


async def _start_when_ready(
    sidecar: sidecars.Sidecar, transport: link.Transport
) -> None:
    """Start a sidecar; retry on errors, since its engine may be loading."""
    while True:
        try:
            await sidecar.start(transport)
            return
        except errors.CrowdeckError:
            await anyio.sleep(START_RETRY_SECONDS)
