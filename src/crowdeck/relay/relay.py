# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Holds the config in force and dispatches requests."""

import typing

import anyio

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.relay import attempt as attempts
from crowdeck.relay import calls
from crowdeck.relay import context as contexts
from crowdeck.relay import loop_lag
from crowdeck.relay import request as requests
from crowdeck.relay import retry_advice
from crowdeck.relay import streams
from crowdeck import route as routes
from crowdeck.routing import routes as route_tables
from crowdeck.state import objects as stores
from crowdeck import verdict as verdicts

# Share of the maximum config age after which the entry reports that it is not
# ready. Load balancers take time to react, and should stop sending before
# requests have to be refused. With a revocation time of 5 s, a config is
# confirmed every 1.2 s and accepted for 3.9 s, and load balancers stop one to
# two seconds after the first failed check.
READY_AGE_SHARE = 0.46
# Retry delay while no config is known yet.
START_RETRY_SECONDS = 0.3

Decoder = typing.Callable[[bytes], routes.FleetConfig]
ConfigAge = typing.Callable[[], float]


class ConfigHolder:
    """Holds the newest config seen; ignores older versions.

    Its methods ``on_listed`` and ``on_changed`` receive the stored configs.

    :param decode: decodes a stored config.
    :param name: name of the stored object to use.
    """

    def __init__(self, decode: Decoder, name: str) -> None:
        self._decode = decode
        self._name = name
        self._table: route_tables.RouteTable | None = None
        self._changed_at = float("-inf")
        self._has_config = anyio.Event()

    @property
    def table(self) -> route_tables.RouteTable | None:
        """The config in force, or ``None`` before the first."""
        return self._table

    @property
    def seconds_in_force(self) -> float:
        """Seconds since the config in force was applied, or infinity."""
        return anyio.current_time() - self._changed_at

    @property
    def services(self) -> tuple[routes.Service, ...]:
        """The services of the config in force."""
        return self._table.config.services if self._table else ()

    async def wait_known(self) -> None:
        """Wait for the first config."""
        await self._has_config.wait()

    def on_listed(self, objects: tuple[stores.StoredObject, ...]) -> None:
        """Apply the full listing of configs."""
        self.on_changed(objects, ())

    def on_changed(
        self,
        objects: tuple[stores.StoredObject, ...],
        removed: tuple[str, ...],
    ) -> None:
        """Apply written configs; a removed config stays in force."""
        for stored in objects:
            if stored.name == self._name:
                self._apply(stored)

    def _apply(self, stored: stores.StoredObject) -> None:
        try:
            config = self._decode(stored.value)
        except errors.CrowdeckError as error:
            logs.change("config_refused", reason=error.message)
            return
        current_version = self._table.version if self._table else -1
        if config.version <= current_version:
            return
        self._table = route_tables.RouteTable(config)
        self._changed_at = anyio.current_time()
        self._has_config.set()
        counters.COUNTERS.add("config.taken")
        logs.change(
            "config_in_force",
            version=config.version,
            before=current_version,
            revision=stored.version,
            routes=len(config.routes),
            teams=len(config.listed_teams),
            requires_keys=config.requires_keys,
        )


class Relay:
    """Serves callers' requests.

    :param config_age: returns the seconds since the config was last known
        to be current.
    :param max_config_age_seconds: age beyond which keys may have been
        revoked, so that requests with a key are refused on all routes.
    """

    def __init__(
        self,
        context: contexts.RelayContext,
        holder: ConfigHolder,
        monitor: attempts.StreamMonitor,
        config_age: ConfigAge,
        max_config_age_seconds: float,
    ) -> None:
        self._context = context
        self._holder = holder
        self._config_age = config_age
        self._max_config_age_seconds = max_config_age_seconds
        self._calls = calls.CallRelay(context, monitor)
        self._streams = streams.StreamRelay(context, monitor)
        self._is_leaving = False
        self._in_progress = 0
        self._idle = anyio.Event()

    @property
    def body_limit(self) -> int:
        """Maximum size of a request body in bytes."""
        return self.limits.body_bytes

    @property
    def limits(self) -> routes.Limits:
        """Limits on callers' requests."""
        table = self._holder.table
        return table.config.limits if table else routes.Limits()

    @property
    def closes_connections(self) -> bool:
        """Whether connections are closed after their next answer.

        True during a planned stop, and when requests may soon be refused
        because the config is not known to be current.
        """
        return self._is_leaving or not self._is_config_recent

    @property
    def is_ready(self) -> bool:
        """Whether new connections should be sent here."""
        return self._holder.table is not None and not self.closes_connections

    @property
    def _is_config_recent(self) -> bool:
        return (
            self._config_age()
            <= READY_AGE_SHARE * self._max_config_age_seconds
        )

    @property
    def in_progress(self) -> int:
        """Number of requests being served."""
        return self._in_progress

    @property
    def has_ranked_streams(self) -> bool:
        """Whether requests are served while the config ranks streams."""
        table = self._holder.table
        return (
            self._in_progress > 0
            and table is not None
            and table.has_ranked_service
        )

    def leave(self) -> None:
        """Begin a planned stop; connections close after their next answer."""
        self._is_leaving = True
        if not self._in_progress:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is being served."""
        while self._in_progress:
            self._idle = anyio.Event()
            await self._idle.wait()

    async def serve(
        self, request: requests.CallerRequest, sink: requests.Sink
    ) -> None:
        """Answer one request.

        :raises CrowdeckError: when there is no answer to forward.
        """
        self._in_progress += 1
        try:
            await self._serve(request, sink)
        finally:
            self._in_progress -= 1
            if not self._in_progress:
                self._idle.set()

    async def _serve(
        self, request: requests.CallerRequest, sink: requests.Sink
    ) -> None:
        table = self._holder.table
        if table is None:
            raise errors.CrowdeckError(
                errors.Code.STORE_DOWN,
                "no config is known yet",
                retry_after=START_RETRY_SECONDS,
            )
        admitted = self._admit(table, request)
        self._refuse_if_overloaded()
        name = route_tables.pick_service(admitted.route, self._context.rng)
        # A service that the config does not list is served as a plain service.
        service = table.service(name) or routes.Service(
            name, connection_limit=0
        )
        try:
            if service.profile is not None:
                urgency = table.urgency(admitted, name)
                await self._streams.serve(
                    request, admitted, service, sink, urgency
                )
            else:
                await self._calls.serve(request, admitted, service, sink)
        except errors.CrowdeckError as error:
            if error.verdict is not verdicts.Verdict.NOT_RUN:
                self._log_unfinished(request, admitted, service, sink, error)
            raise

    def _log_unfinished(
        self,
        request: requests.CallerRequest,
        admitted: route_tables.AdmittedRequest,
        service: routes.Service,
        sink: requests.Sink,
        error: errors.CrowdeckError,
    ) -> None:
        """Log the circumstances in which a sent request has no answer."""
        table = self._holder.table
        logs.decision(
            "request_unfinished",
            request.id,
            code=str(error.code),
            has_started=sink.has_started,
            config=admitted.config_version,
            config_in_force=table.version if table else None,
            config_seconds=round(self._holder.seconds_in_force, 3),
            service=service.name,
            budget_left=round(self._context.budget(service.name).remaining, 2),
            engine=error.culprit,
            is_usable=self._context.registry.is_usable(error.culprit),
        )

    def _refuse_if_overloaded(self) -> None:
        """Refuse new requests while the event loop lags too much.

        :raises CrowdeckError: ``OVERLOADED`` with the verdict ``NOT_RUN``.
        """
        lag = self._context.lag_meter.recent_lag()
        if lag > loop_lag.OVERLOAD_SECONDS:
            counters.COUNTERS.add("relay.shed")
            raise errors.CrowdeckError(
                errors.Code.OVERLOADED,
                f"the event loop lags by {lag:.2f} s with {self._in_progress} "
                "requests in progress",
                retry_after=self._context.retry_advisor.record_refusal(),
            )

    def _admit(
        self, table: route_tables.RouteTable, request: requests.CallerRequest
    ) -> route_tables.AdmittedRequest:
        """Return what the config decides on a request.

        A config that may be outdated decides nothing by a key: a newer one
        may have removed the key, added it, or given it to another team.

        :raises CrowdeckError: ``NOT_FOUND`` or ``UNAUTHORIZED``, or
            ``STORE_DOWN`` if a newer config may decide otherwise.
        """
        config_age_seconds = self._config_age()
        # True for NaN, too.
        is_outdated = not config_age_seconds <= self._max_config_age_seconds
        if is_outdated and request.key:
            raise self._outdated_config_error(config_age_seconds)
        try:
            return table.admit(request.host, request.path, request.key)
        except errors.CrowdeckError:
            if is_outdated:
                # A newer config may contain this route, or open it.
                raise self._outdated_config_error(config_age_seconds) from None
            raise

    def _outdated_config_error(
        self, config_age_seconds: float
    ) -> errors.CrowdeckError:
        counters.COUNTERS.add("relay.config_outdated")
        return errors.CrowdeckError(
            errors.Code.STORE_DOWN,
            "the config was last known to be current "
            f"{config_age_seconds:.1f} s ago, the limit is "
            f"{self._max_config_age_seconds:g} s",
            retry_after=retry_advice.OTHER_ENTRY_DELAY_SECONDS,
        )
