# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The relay: which config is in force, and who serves a request."""

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
from crowdeck.routing import routes as tables
from crowdeck.state import objects as stores

# Beyond this share of the time for which a config is trusted, callers are
# sent elsewhere, before their requests have to be refused. A config is
# proved current every 1.2 of 3.9 s; whoever passes new connections on
# stops one to two seconds after the first bad answer about readiness.
READY_AGE_SHARE = 0.46
# A process that has just started knows its config within a few calls.
START_RETRY_SECONDS = 0.3

Decoder = typing.Callable[[bytes], routes.FleetConfig]
ConfigAge = typing.Callable[[], float]


class ConfigHolder:
    """The newest version of the config seen; never goes back.

    A follower of the mirror of configs.

    :param decode: turns a stored config into the product's types.
    :param name: name of the object that is in force.
    """

    def __init__(self, decode: Decoder, name: str) -> None:
        self._decode = decode
        self._name = name
        self._table: tables.RouteTable | None = None
        self._known = anyio.Event()

    @property
    def table(self) -> tables.RouteTable | None:
        """The config in force, or ``None`` before the first was seen."""
        return self._table

    @property
    def services(self) -> tuple[routes.Service, ...]:
        """The services of the config in force."""
        return self._table.config.services if self._table else ()

    async def wait_known(self) -> None:
        """Wait for the first config."""
        await self._known.wait()

    def on_listed(self, objects: tuple[stores.StoredObject, ...]) -> None:
        """Take all configs."""
        self.on_changed(objects, ())

    def on_changed(
        self,
        objects: tuple[stores.StoredObject, ...],
        removed: tuple[str, ...],
    ) -> None:
        """Take configs that were written; a removed one stays in force."""
        for one in objects:
            if one.name == self._name:
                self._take(one)

    def _take(self, stored: stores.StoredObject) -> None:
        try:
            config = self._decode(stored.value)
        except errors.CrowdeckError as error:
            logs.change("config_refused", reason=error.message)
            return
        held = self._table.version if self._table else -1
        if config.version <= held:
            return
        self._table = tables.RouteTable(config)
        self._known.set()
        counters.COUNTERS.add("config.taken")
        logs.change(
            "config_in_force",
            version=config.version,
            before=held,
            revision=stored.version,
            routes=len(config.routes),
            teams=len(config.teams),
        )


class Relay:
    """Serves callers' requests.

    :param age: seconds since the config was last known to be the newest.
    :param trust_seconds: with an older config, no key is known to stand,
        and requests that need one are refused.
    """

    def __init__(
        self,
        context: contexts.RelayContext,
        holder: ConfigHolder,
        monitor: attempts.StreamMonitor,
        age: ConfigAge,
        max_config_age: float,
    ) -> None:
        self._context = context
        self._holder = holder
        self._age = age
        self._max_config_age = max_config_age
        self._calls = calls.CallRelay(context, monitor)
        self._streams = streams.StreamRelay(context, monitor)
        self._is_leaving = False
        self._in_progress = 0
        self._idle = anyio.Event()

    @property
    def body_limit(self) -> int:
        """Most bytes that a request's body may have."""
        table = self._holder.table
        limits = table.config.limits if table else routes.Limits()
        return limits.body_bytes

    @property
    def closes_connections(self) -> bool:
        """Whether callers are to use other connections from now on.

        A planned stop has begun, or requests will soon be refused because
        the config is not known to be current.
        """
        return self._is_leaving or not self._is_current

    @property
    def is_ready(self) -> bool:
        """Whether new connections are welcome."""
        return self._holder.table is not None and not self.closes_connections

    @property
    def _is_current(self) -> bool:
        return self._age() <= READY_AGE_SHARE * self._max_config_age

    @property
    def in_progress(self) -> int:
        """Requests being served."""
        return self._in_progress

    def leave(self) -> None:
        """Begin a planned stop: connections end with their next answer."""
        self._is_leaving = True
        if not self._in_progress:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until nothing is served any more."""
        while self._in_progress:
            self._idle = anyio.Event()
            await self._idle.wait()

    async def serve(
        self, request: requests.CallerRequest, sink: requests.Sink
    ) -> None:
        """Answer one request.

        :raises CrowdeckError: when there is no answer to pass on.
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
        self._refuse_overload()
        name = tables.pick_service(admitted.route, self._context.rng)
        service = table.service(name) or routes.Service(name, 0)
        if service.profile is not None:
            await self._streams.serve(request, admitted, service, sink)
        else:
            await self._calls.serve(request, admitted, service, sink)

    def _refuse_overload(self) -> None:
        """Take nothing more while what is under way is late already.

        :raises CrowdeckError: ``OVERLOADED``, not run.
        """
        lag = self._context.lag_meter.recent_lag()
        if lag > loop_lag.OVERLOAD_SECONDS:
            counters.COUNTERS.add("relay.shed")
            raise errors.CrowdeckError(
                errors.Code.OVERLOADED,
                f"this entry is {lag:.2f} s late with {self._in_progress} "
                "requests under way",
                retry_after=self._context.retry_advisor.estimate_delay(),
            )

    def _admit(
        self, table: tables.RouteTable, request: requests.CallerRequest
    ) -> tables.Admitted:
        age = self._age()
        is_valid = age <= self._max_config_age
        try:
            admitted = table.admit(request.host, request.path, request.key)
        except errors.CrowdeckError:
            if is_valid:
                raise
            # A newer config may well have this route or key.
            raise self._outdated(age) from None
        needs_key = bool(table.config.teams) and not (
            admitted.route.is_anonymous
        )
        if needs_key and not is_valid:
            raise self._outdated(age)
        return admitted

    def _outdated(self, age: float) -> errors.CrowdeckError:
        return errors.CrowdeckError(
            errors.Code.STORE_DOWN,
            f"the config was last known to be current {age:.1f} s ago",
            retry_after=retry_advice.OTHER_ENTRY_DELAY_SECONDS,
        )
