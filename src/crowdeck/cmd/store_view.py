# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""An entry's copies of the platform's store, read directly or from a peer."""

import contextlib
import typing

from crowdeck import http
from crowdeck import instance as instances
from crowdeck.membership import peer_selection
from crowdeck.membership import roster as rosters
from crowdeck.membership import upstreams as registries
from crowdeck.platform import config as platform_config
from crowdeck.platform import names
from crowdeck.platform import store as platform_store
from crowdeck.platform import upstreams as platform_upstreams
from crowdeck.quarantine import tracker as trackers
from crowdeck.relay import relay as relays
from crowdeck.settings import config as configs
from crowdeck.state import mirror as mirrors
from crowdeck.state import objects as stores
from crowdeck.state import store_health

# The config's watch is renewed after this fraction of the revocation time;
# each renewal confirms that the copy is current. It must leave time to replace
# a silent peer before the entry refuses callers because the copy is too old.
# With a revocation time of 5 s, such a peer is replaced after 1.3 s. An entry
# that lost the store would refuse callers after 1.4 to 3.5 s with 0.4, and
# after 2.7 s at the earliest with 0.22.
CONFIG_WAIT_FRACTION = 0.16
# Two seconds after an instance left, no call may reach it. A connection that
# has fallen silent is noticed after this and the slack of a watch. The rest is
# for the answer on another connection, and for calls on their way.
UPSTREAM_WAIT_SECONDS = 1.0
# Pause between two watches of the config.
CONFIG_WATCH_PAUSE_SECONDS = 0.1
# The records tell which requests ended instances. All entries have to know
# that within three seconds, also if a connection falls silent meanwhile.
ROSTER_WAIT_SECONDS = 2.0

BackgroundTask = typing.Callable[
    [], typing.Coroutine[typing.Any, typing.Any, None]
]


class StoreView:
    """Copies of the fleet config, the upstreams and the roster of entries.

    :param peers: client for the copies of other entries.
    """

    def __init__(
        self,
        store: stores.ObjectStore,
        config: configs.Config,
        peers: peer_selection.PeerClient,
    ) -> None:
        self.registry = registries.UpstreamRegistry(platform_upstreams.decode)
        self.holder = relays.ConfigHolder(
            platform_config.decode, names.CONFIG_NAME
        )
        self.quarantine = trackers.QuarantineTracker()
        self.roster = rosters.Roster(
            store, config.name, _entry_record(config), self.quarantine
        )
        self._health = store_health.StoreHealth()
        self.peer_selector = peer_selection.PeerSelector(
            config.name, self.roster.ranking, peers, self._health
        )
        self._health.set_probe_interval(self.peer_selector.store_retry_seconds)
        self.registry.set_services_source(
            lambda: frozenset(service.name for service in self.holder.services)
        )
        self.registry.set_store_failure_source(
            lambda: self._health.disrupted_at
        )
        self.registry.set_store_outage_source(lambda: self._health.outage_at)
        self._store = store
        revocation_seconds = float(config.fleet["revocation_ms"]) / 1000.0
        self._config_mirror = self._mirror(
            names.CONFIG_KIND,
            self.holder,
            CONFIG_WAIT_FRACTION * revocation_seconds,
            lambda: CONFIG_WATCH_PAUSE_SECONDS,
        )
        roster_mirror = self._mirror(
            rosters.KIND,
            self.roster,
            ROSTER_WAIT_SECONDS,
            lambda: rosters.RECORD_LINGER_SECONDS,
        )
        self.roster.set_age_source(roster_mirror.age)
        upstream_mirror = self._mirror(
            names.UPSTREAM_KIND,
            self.registry,
            UPSTREAM_WAIT_SECONDS,
            self.roster.linger_seconds,
        )
        self.registry.set_age_source(upstream_mirror.age)
        self.mirrors = (self._config_mirror, upstream_mirror, roster_mirror)

    @property
    def background_tasks(self) -> tuple[BackgroundTask, ...]:
        """Coroutine functions that keep the copies up to date."""
        return (*(mirror.run for mirror in self.mirrors), self.roster.run)

    def has_ranked_service(self) -> bool:
        """Whether the config in force ranks the streams of any service."""
        table = self.holder.table
        return table is not None and table.has_ranked_service

    def config_age(self) -> float:
        """Return the seconds since the config was last known to be current."""
        return self._config_mirror.age()

    def _mirror(
        self,
        kind: str,
        listener: mirrors.ChangeListener,
        wait_seconds: float,
        linger: mirrors.Linger,
    ) -> mirrors.Mirror:
        return mirrors.Mirror(
            self._store,
            kind,
            listener,
            wait_seconds,
            linger,
            self._health,
            self.peer_selector,
        )


def open_store(
    stack: contextlib.AsyncExitStack,
    config: configs.Config,
    downloads: http.LargeDownloads,
) -> platform_store.HttpStore:
    """Return the store, which ``stack`` closes.

    :param downloads: is told of large responses of the store.
    """
    client = http.HttpClient(config.platform_url, downloads=downloads)
    stack.push_async_callback(client.close)
    return platform_store.HttpStore(client)


def _entry_record(config: configs.Config) -> rosters.EntryRecord:
    peers = str(config.fleet["peers"])
    return rosters.EntryRecord(
        config.availability_zone,
        instances.Address.parse(peers) if peers else None,
        float(config.fleet["link_mbps"]),
    )
