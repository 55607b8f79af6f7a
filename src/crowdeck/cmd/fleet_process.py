# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Builds and runs an entry in front of engines that chain themselves."""

import contextlib
import os
import secrets
import socket

import anyio
import anyio.abc

from crowdeck.cmd import http_server
from crowdeck.cmd import store_view
from crowdeck import http
from crowdeck import instance as instances
from crowdeck.membership import peer_http
from crowdeck.membership import upstreams as registries
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.platform import callers
from crowdeck.platform import engines
from crowdeck.platform import names
from crowdeck.platform import store as platform_store
from crowdeck.relay import context as contexts
from crowdeck.relay import ingress
from crowdeck.relay import relay as relays
from crowdeck.relay import stalls
from crowdeck.relay import status as statuses
from crowdeck.relay import survey as surveys
from crowdeck.routing import hops
from crowdeck.routing import usage as usages
from crowdeck.settings import config as configs
from crowdeck.state import leases

PLACEMENT = "placement"
# One connection for each request under way, and those of reports and
# orders; the descriptors of an entry allow four times as many.
UPSTREAM_CONNECTIONS = 1_000
# A key works on for so much of the time allowed after the last proof.
# The rest is for a watch that is silent for up to a second before its
# history is lost. What counts is when a request was sent, and it is
# admitted later than that, so requests under way need nothing more.
TRUST_SHARE = 0.78
# Balancers ask once a second and take an instance out after two answers
# that do not welcome them; until then new connections still come.
UNREADY_SECONDS = 2.3
# What is left of the grace after the last answers were ended: closing all
# connections takes an entry up to half a second of its share of a core.
STOP_MARGIN = 1.0
IDLE_SECONDS = 15
# How long an entry that starts may take to learn config and engines, and
# what they hold, before it takes callers all the same and refuses them.
# Each takes some tens of milliseconds while the store is well.
ABLE_SECONDS = 0.5


class FleetProcess:
    """One entry, from its configuration to its end.

    :param listener: the callers' socket, where it is open already.
    """

    def __init__(
        self,
        config: configs.Config,
        listener: socket.socket | None = None,
    ) -> None:
        self._config = config
        self._listener = listener
        self._surveyed = anyio.Event()
        self._relay: relays.Relay | None = None
        self._server: http_server.QuietServer | None = None
        self._lease: leases.Lease | None = None
        self._stopped = anyio.Event()
        self._is_stopping = False

    @property
    def is_running(self) -> bool:
        """Whether the process has begun to serve."""
        return self._server is not None

    async def run(self) -> None:
        """Serve until :meth:`stop` has ended it, or until cancelled."""
        async with contextlib.AsyncExitStack() as stack:
            tasks = await stack.enter_async_context(anyio.create_task_group())
            stack.callback(tasks.cancel_scope.cancel)
            if self._listener is not None:
                stack.callback(self._listener.close)
            store = platform_store.HttpStore(
                self._open_client(stack, self._config.platform_url)
            )
            await self._build(stack, tasks, store)
            logs.change(
                "started",
                instance=self._config.name,
                zone=self._config.availability_zone,
                process=os.getpid(),
            )
            await self._stopped.wait()
            logs.change("stopped", instance=self._config.name)

    def reconfigure(self, config: configs.Config) -> None:
        """Take a configuration read again: the grace of a planned stop."""
        self._config = config
        logs.change("reconfigured", instance=config.name)

    async def stop(self, force: bool = False) -> None:
        """Stop as planned: no new callers, then the end of what runs."""
        if self._relay is None or self._server is None:
            self._stopped.set()
            return
        grace = float(self._config.fleet["grace_seconds"]) - STOP_MARGIN
        if force:
            self._stopped.set()
            return
        if self._is_stopping:
            return
        self._is_stopping = True
        began = anyio.current_time()
        self._relay.leave()
        logs.change("stopping", in_progress=self._relay.in_progress)
        if self._lease is not None:
            await self._lease.release()
        await anyio.sleep_until(began + min(UNREADY_SECONDS, grace / 2))
        self._server.should_exit = True
        with anyio.move_on_at(began + grace):
            await self._relay.wait_idle()
        logs.change("stop_ends", left=self._relay.in_progress)
        self._stopped.set()

    async def _build(
        self,
        stack: contextlib.AsyncExitStack,
        tasks: anyio.abc.TaskGroup,
        store: platform_store.HttpStore,
    ) -> None:
        fleet = self._config.fleet
        revocation = float(fleet["revocation_ms"]) / 1000.0
        peers = peer_http.HttpPeers(self._open_client(stack, ""))
        view = store_view.StoreView(store, self._config, peers)
        upstreams = self._open_upstreams(stack)
        context = self._context(upstreams, view)
        monitor = stalls.StallMonitor(context)
        self._relay = relays.Relay(
            context,
            view.holder,
            monitor,
            view.config_age,
            TRUST_SHARE * revocation,
        )
        holder_name = f"{self._config.name}/{secrets.token_hex(8)}"
        lease = leases.Lease(
            store,
            PLACEMENT,
            holder_name,
            lambda: view.peer_selector.reads_store,
            is_new_fleet=bool(fleet["first_start"]),
        )
        self._lease = lease
        context.follow(view.roster)
        for part in (*view.parts, lease.run, monitor.run):
            tasks.start_soon(part)
        tasks.start_soon(context.backpressure.run)
        tasks.start_soon(context.gaps.run, lambda: view.holder.services)
        tasks.start_soon(_place, lease, view.registry, upstreams, view.holder)
        tasks.start_soon(self._survey, context, view)
        status = statuses.EntryStatus(
            self._config.name, context, view.holder, self._relay
        )
        await self._listen_to_peers(tasks, view, status.read)
        await self._listen(tasks, self._relay)

    async def _listen_to_peers(
        self,
        tasks: anyio.abc.TaskGroup,
        view: store_view.StoreView,
        status: peer_http.Status,
    ) -> None:
        peers = str(self._config.fleet["peers"])
        if not peers:
            return
        address = instances.Address.parse(peers)
        copies = {one.kind: one for one in view.mirrors}
        app = peer_http.PeerApp(copies, view.peer_selector, status)
        server = http_server.build(app, address.host, address.port)
        await tasks.start(_run_server, server)

    async def _survey(
        self, context: contexts.RelayContext, view: store_view.StoreView
    ) -> None:
        await view.holder.wait_known()
        await surveys.Survey(context).run(view.holder.services)
        # An entry that knew nothing of requests that end engines would pass
        # each of them on once more.
        await view.roster.wait_listed()
        self._surveyed.set()

    def _open_upstreams(
        self, stack: contextlib.AsyncExitStack
    ) -> engines.UpstreamClient:
        client = http.HttpClient(
            "", keep_alive=False, connection_limit=UPSTREAM_CONNECTIONS
        )
        stack.push_async_callback(client.close)
        return engines.UpstreamClient(client)

    def _context(
        self, upstreams: engines.UpstreamClient, view: store_view.StoreView
    ) -> contexts.RelayContext:
        fleet = self._config.fleet
        usage = usages.InFlight()
        return contexts.RelayContext(
            zone=self._config.availability_zone,
            registry=view.registry,
            quarantine=view.quarantine,
            client=upstreams,
            usage=usage,
            planner=hops.HopPlanner(usage),
            budget_settings=contexts.RetryBudgetSettings(
                float(fleet["retry_ratio"]),
                float(fleet["retry_slack"]),
                float(fleet["retry_window_seconds"]),
            ),
            began=anyio.current_time(),
            name=self._config.name,
        )

    async def _listen(
        self, tasks: anyio.abc.TaskGroup, relay: relays.Relay
    ) -> None:
        fleet = self._config.fleet
        status = instances.Address.parse(str(fleet["status"]))
        app = statuses.StatusApp(
            relay, counters.COUNTERS, names.READINESS_PATH
        )
        status_server = http_server.build(app, status.host, status.port)
        await tasks.start(_run_server, status_server)
        # Callers that wait for their connection to be taken up find an
        # entry that can serve them, and no refusal.
        with anyio.move_on_after(ABLE_SECONDS):
            await self._surveyed.wait()
        address = instances.Address.parse(str(fleet["callers"]))
        self._server = http_server.build(
            ingress.Ingress(relay, callers),
            address.host,
            address.port,
            timeout_keep_alive=IDLE_SECONDS,
            date_header=False,
        )
        await tasks.start(_run_server, self._server, self._listener)

    def _open_client(
        self, stack: contextlib.AsyncExitStack, url: str
    ) -> http.HttpClient:
        client = http.HttpClient(url)
        stack.push_async_callback(client.close)
        return client


async def _place(
    lease: leases.Lease,
    registry: registries.UpstreamRegistry,
    upstreams: engines.UpstreamClient,
    holder: relays.ConfigHolder,
) -> None:
    """Order layers whenever the lease is held."""
    await lease.wait_held()
    # One entry of a fleet needs this, and every entry serves nobody while
    # it starts: with the placement's modules that took a tenth longer.
    from crowdeck.placement import controller
    from crowdeck.platform import orders

    placement = controller.PlacementController(
        lease,
        registry,
        orders.PlacementOrderClient(upstreams),
        lambda: holder.services,
    )
    await placement.run()


async def _run_server(
    server: http_server.QuietServer,
    listener: socket.socket | None = None,
    *,
    task_status: anyio.abc.TaskStatus[int],
) -> None:
    await http_server.run(server, listener, task_status=task_status)
