# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Builds and runs a fleet entry.

The upstream engines of a fleet entry pass a request from stage to stage
themselves.
"""

import contextlib
import os
import secrets
import socket
import typing

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
from crowdeck.platform import engines
from crowdeck.platform import names
from crowdeck.platform import store as platform_store
from crowdeck.relay import context as contexts
from crowdeck.relay import relay as relays
from crowdeck.relay import stalls
from crowdeck.relay import status as statuses
from crowdeck.relay import survey as surveys
from crowdeck import route as routes
from crowdeck.routing import hops
from crowdeck.routing import usage as usages
from crowdeck.settings import config as configs
from crowdeck.state import leases

if typing.TYPE_CHECKING:
    # Loaded once the listeners are opened.
    from crowdeck.serving import account as accounts
    from crowdeck.serving import limits as client_limits

PLACEMENT_LEASE = "placement"
# Each request in progress uses one connection, as do reports and orders.
# Keep it well below the process's limit of open files.
MAX_UPSTREAM_CONNECTIONS = 1_000
# Parts of the connections for callers; for load balancers and collectors of
# metrics; and for other entries, of which each has one for each kind of object
# that it watches, and one for its load.
CALLER_SHARE = 0.7
STATUS_SHARE = 0.05
PEER_SHARE = 0.25
# Time for which their connections may be idle.
INTERNAL_IDLE_SECONDS = 5.0
# API keys are accepted for this fraction of the revocation time after the
# config was last known to be current. Less than one, as a watch may miss a
# change for some time before it reports that the history was lost. This takes
# up to a second.
CONFIG_TRUST_FRACTION = 0.78
# Time for which a stopping entry reports unready but still accepts
# connections: load balancers probe once a second and remove an instance after
# two failed probes.
UNREADY_SECONDS = 2.3
# Part of the grace period that is reserved for closing connections. Closing
# all of them takes up to half a second.
STOP_MARGIN_SECONDS = 1.0
# Longest wait at start for the config, the survey of the engines and the
# roster. After it the entry accepts connections and refuses what it cannot
# serve yet. Each of these takes some tens of milliseconds while the store is
# well.
MAX_INITIAL_SYNC_SECONDS = 0.5
# While the config ranks no streams, it is checked this often.
RANKED_CHECK_SECONDS = 1.0


class FleetProcess:
    """One entry, built from its configuration.

    :param listener: the socket for callers, if it is already open.
    """

    def __init__(
        self,
        config: configs.Config,
        listener: socket.socket | None = None,
    ) -> None:
        self._config = config
        self._listener = listener
        self._initially_synced = anyio.Event()
        self._relay: relays.Relay | None = None
        self._downloads = http.LargeDownloads()
        self._server: http_server.EmbeddedServer | None = None
        self._account: accounts.Account | None = None
        self._server_ended = anyio.Event()
        self._lease: leases.Lease | None = None
        self._stopped = anyio.Event()
        self._is_stopping = False

    @property
    def is_running(self) -> bool:
        """Whether the process has begun to serve."""
        return self._server is not None

    async def run(self) -> None:
        """Serve until :meth:`stop` completes, or until cancelled."""
        async with contextlib.AsyncExitStack() as stack:
            if self._listener is not None:
                # Closed after the tasks: a server that has begun to stop
                # cannot close a socket that is closed already.
                stack.callback(self._listener.close)
            tasks = await stack.enter_async_context(anyio.create_task_group())
            stack.callback(tasks.cancel_scope.cancel)
            store = store_view.open_store(stack, self._config, self._downloads)
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
        """Apply a reloaded configuration.

        After the start, this changes only the grace period.
        """
        self._config = config
        logs.change("reconfigured", instance=config.name)

    async def stop(self, force: bool = False) -> None:
        """Report unready, let running requests finish, then end.

        Requests are still accepted until load balancers have noticed. The
        wait is limited to the grace period.

        :param force: end at once.
        """
        if self._relay is None or self._server is None:
            self._stopped.set()
            return
        stop_limit_seconds = (
            float(self._config.fleet["grace_seconds"]) - STOP_MARGIN_SECONDS
        )
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
        await anyio.sleep_until(
            began + min(UNREADY_SECONDS, stop_limit_seconds / 2)
        )
        self._server.should_exit = True
        with anyio.move_on_at(began + stop_limit_seconds):
            await self._relay.wait_idle()
            # The server still writes answers that the relay has finished.
            await self._server_ended.wait()
        logs.change("stop_ends", left=self._relay.in_progress)
        self._stopped.set()

    async def _build(
        self,
        stack: contextlib.AsyncExitStack,
        tasks: anyio.abc.TaskGroup,
        store: platform_store.HttpStore,
    ) -> None:
        fleet = self._config.fleet
        revocation_seconds = float(fleet["revocation_ms"]) / 1000.0
        peers = peer_http.HttpPeerClient(self._open_client(stack, ""))
        view = store_view.StoreView(store, self._config, peers)
        upstreams = self._open_upstream_client(stack, tasks, view)
        context = self._build_context(upstreams, view)
        monitor = stalls.StallMonitor(context)
        self._relay = relays.Relay(
            context,
            view.holder,
            monitor,
            view.config_age,
            CONFIG_TRUST_FRACTION * revocation_seconds,
        )
        holder_name = f"{self._config.name}/{secrets.token_hex(8)}"
        lease = leases.Lease(
            store,
            PLACEMENT_LEASE,
            holder_name,
            lambda: view.peer_selector.reads_store,
            is_new_fleet=bool(fleet["first_start"]),
        )
        self._lease = lease
        context.use_roster(view.roster)
        context.is_link_full = self._is_link_full
        for background_task in (
            *view.background_tasks,
            lease.run,
            monitor.run,
        ):
            tasks.start_soon(background_task)
        tasks.start_soon(context.backpressure.run)
        tasks.start_soon(context.gaps.run, lambda: view.holder.services)
        tasks.start_soon(
            _run_placement, lease, view.registry, upstreams, view.holder
        )
        tasks.start_soon(_prepare_ranking, context, view)
        tasks.start_soon(self._sync_initially, context, view)
        status = statuses.EntryStatus(
            self._config.name, context, view.holder, self._relay
        )
        mirrors_by_kind = {mirror.kind: mirror for mirror in view.mirrors}
        peer_app = peer_http.PeerApp(
            mirrors_by_kind, view.peer_selector, status.read
        )
        await self._listen_to_peers(tasks, peer_app)
        tasks.start_soon(
            self._share_load, context, monitor, view, status, peer_app
        )
        await self._listen(tasks, self._relay)

    async def _share_load(
        self,
        context: contexts.RelayContext,
        monitor: stalls.StallMonitor,
        view: store_view.StoreView,
        status: statuses.EntryStatus,
        peer_app: peer_http.PeerApp,
    ) -> None:
        """Exchange loads with other entries where settings call for it."""
        fleet = self._config.fleet
        if fleet["share_load"] == "off" or not fleet["peers"]:
            return
        is_always_on = fleet["share_load"] == "on"

        def is_enabled() -> bool:
            return is_always_on or view.has_ranked_service()

        await view.holder.wait_known()
        while not is_enabled():
            await anyio.sleep(RANKED_CHECK_SECONDS)
        # Most fleets exchange no load; their entries start faster without
        # these modules.
        from crowdeck.membership import load_exchange
        from crowdeck.membership import load_http
        from crowdeck.relay import peer_reports

        async with contextlib.AsyncExitStack() as stack:
            tasks = await stack.enter_async_context(anyio.create_task_group())
            exchange = load_exchange.LoadExchange(
                self._config.name,
                self._config.availability_zone,
                view.roster,
                load_http.HttpLoadClient(self._open_client(stack, "")),
                context.own_load,
                is_enabled,
            )
            context.use_fleet_load(exchange)
            status.use_load_exchange(exchange)
            peer_app.add_app(load_http.LOAD_PATH, load_http.LoadApp(exchange))
            tasks.start_soon(peer_reports.PeerReports(context, monitor).run)
            await exchange.run()

    async def _listen_to_peers(
        self,
        tasks: anyio.abc.TaskGroup,
        app: peer_http.PeerApp,
    ) -> None:
        peer_address = str(self._config.fleet["peers"])
        if not peer_address:
            return
        address = instances.Address.parse(peer_address)
        server = http_server.build(
            app,
            address.host,
            address.port,
            intake=self._internal_intake("peers", PEER_SHARE),
        )
        await tasks.start(_run_server, server)

    async def _sync_initially(
        self, context: contexts.RelayContext, view: store_view.StoreView
    ) -> None:
        await view.holder.wait_known()
        await surveys.Survey(context).run(view.holder.services)
        # The roster's records carry the quarantine; without them the entry
        # would forward requests that are known to crash engines.
        await view.roster.wait_listed()
        self._initially_synced.set()

    def _open_upstream_client(
        self,
        stack: contextlib.AsyncExitStack,
        tasks: anyio.abc.TaskGroup,
        view: store_view.StoreView,
    ) -> engines.UpstreamClient:
        client = http.HttpClient(
            "", keep_alive=False, connection_limit=MAX_UPSTREAM_CONNECTIONS
        )
        stack.push_async_callback(client.close)
        if not self._reuses_connections:
            return engines.UpstreamClient(client)
        return engines.UpstreamClient(
            client, _open_reusing_client(stack, tasks, view)
        )

    @property
    def _reuses_connections(self) -> bool:
        fleet = self._config.fleet
        if fleet["reuse_connections"] != "auto":
            return fleet["reuse_connections"] == "on"
        from crowdeck.platform import contracts

        return contracts.reuse_connections(str(fleet["contracts"]))

    def _build_context(
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
            started_at=anyio.current_time(),
            name=self._config.name,
        )

    async def _listen(
        self, tasks: anyio.abc.TaskGroup, relay: relays.Relay
    ) -> None:
        fleet = self._config.fleet
        status_address = instances.Address.parse(str(fleet["status"]))
        app = statuses.StatusApp(
            relay, counters.COUNTERS, names.READINESS_PATH
        )
        status_server = http_server.build(
            app,
            status_address.host,
            status_address.port,
            intake=self._internal_intake("status", STATUS_SHARE),
        )
        await tasks.start(_run_server, status_server)
        # Loaded here, as uvicorn's own protocols are: meanwhile the store and
        # the engines answer the questions of the initial sync.
        from crowdeck.cmd import caller_server

        # Until the initial sync ends or this time has passed, connections
        # wait in the listener's backlog instead of being refused.
        with anyio.move_on_after(MAX_INITIAL_SYNC_SECONDS):
            await self._initially_synced.wait()
        address = instances.Address.parse(str(fleet["callers"]))
        self._server = caller_server.build(
            relay,
            address.host,
            address.port,
            intake=self._caller_intake(relay),
        )
        await tasks.start(self._serve_callers, self._server)

    def _open_account(self) -> "accounts.Account":
        """Return the account of all clients of this process."""
        from crowdeck.serving import account as accounts

        if self._account is None:
            machine = self._config.machine
            self._account = accounts.Account(
                accounts.size_for(machine.memory_mb, machine.file_descriptors)
            )
        return self._account

    def _internal_intake(
        self, name: str, share: float
    ) -> "client_limits.Intake":
        """Return what bounds the clients of a listener without callers."""
        from crowdeck.serving import limits as client_limits

        machine = self._config.machine
        defaults = routes.Limits()
        limits = client_limits.Limits(
            header_bytes=defaults.header_bytes,
            header_seconds=defaults.header_seconds,
            idle_seconds=INTERNAL_IDLE_SECONDS,
            body_seconds=machine.body_seconds,
            unread_seconds=machine.unread_seconds,
        )
        listener = self._open_account().open_listener(name, share)
        return client_limits.Intake(listener, lambda: limits)

    def _caller_intake(self, relay: relays.Relay) -> "client_limits.Intake":
        from crowdeck.serving import limits as client_limits

        machine = self._config.machine

        def limits() -> client_limits.Limits:
            config_limits = relay.limits
            return client_limits.Limits(
                header_bytes=config_limits.header_bytes,
                header_seconds=config_limits.header_seconds,
                idle_seconds=config_limits.idle_seconds,
                body_seconds=machine.body_seconds,
                unread_seconds=machine.unread_seconds,
            )

        listener = self._open_account().open_listener("callers", CALLER_SHARE)
        return client_limits.Intake(listener, limits)

    async def _serve_callers(
        self,
        server: http_server.EmbeddedServer,
        *,
        task_status: anyio.abc.TaskStatus[int],
    ) -> None:
        try:
            await _run_server(server, self._listener, task_status=task_status)
        finally:
            self._server_ended.set()

    def _is_link_full(self) -> bool:
        """Whether silence may be due to this entry's link.

        Not considered where no streams are ranked.
        """
        return (
            self._downloads.fill_link
            and self._relay is not None
            and self._relay.has_ranked_streams
        )

    def _open_client(
        self, stack: contextlib.AsyncExitStack, url: str
    ) -> http.HttpClient:
        client = http.HttpClient(url)
        stack.push_async_callback(client.close)
        return client


async def _prepare_ranking(
    context: contexts.RelayContext, view: store_view.StoreView
) -> None:
    """Load the parts for ranked streams once the config ranks any.

    Otherwise the first ranked request would wait for it.
    """
    await view.holder.wait_known()
    while not view.has_ranked_service():
        await anyio.sleep(RANKED_CHECK_SECONDS)
    context.ranked_parts()


def _open_reusing_client(
    stack: contextlib.AsyncExitStack,
    tasks: anyio.abc.TaskGroup,
    view: store_view.StoreView,
) -> http.ReusingClient:
    """Return a client that keeps connections, and start what closes them."""
    # Entries that keep none start faster without these modules.
    from crowdeck import reusing_client
    from crowdeck.routing import connection_policy

    policy = connection_policy.ConnectionPolicy(
        view.registry,
        lambda: view.holder.services,
        lambda: view.roster.entry_count,
    )
    client = reusing_client.ReusingClient(policy, MAX_UPSTREAM_CONNECTIONS)
    stack.callback(client.close)
    view.registry.subscribe(client.kept.close_excess)
    view.registry.subscribe_ends(client.kept.note_ended)
    tasks.start_soon(client.kept.run)
    return client


async def _run_placement(
    lease: leases.Lease,
    registry: registries.UpstreamRegistry,
    upstreams: engines.UpstreamClient,
    holder: relays.ConfigHolder,
) -> None:
    """Run the placement controller once the lease has been acquired."""
    await lease.wait_held()
    # Only one entry of a fleet runs the placement; the others start faster
    # without its modules, which make a start take a tenth longer.
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
    server: http_server.EmbeddedServer,
    listener: socket.socket | None = None,
    *,
    task_status: anyio.abc.TaskStatus[int],
) -> None:
    await http_server.run(server, listener, task_status=task_status)
