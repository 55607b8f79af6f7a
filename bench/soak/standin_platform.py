# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The process that runs the stand-ins of the platform.

A control port takes commands over HTTP, and tells which requests ran.
"""

import collections
import json
import sys
import typing

import anyio
import anyio.abc
import attrs
import orjson
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from crowdeck import chain
from crowdeck.cmd import http_server
from crowdeck import instance as instances
from crowdeck.platform import names
from crowdeck.standin import chain_fleet
from crowdeck.standin import chain_http
from crowdeck.standin import store as standin_store
from crowdeck.standin import store_http
from crowdeck.state import leases

HOST = "127.0.0.1"
EVENT_SECONDS = 0.04
CALL_SECONDS = 0.02
# The store is backed up this often and restored from one of the last ten
# backups, which loses the writes of up to five seconds.
BACKUP_SECONDS = 0.5
BACKUPS_KEPT = 10
# Time after which the operator writes its config again to a restored store.
REWRITE_SECONDS = 0.3
# More requests than a seed sends.
UNLIMITED = 10**6

Spec = dict[str, typing.Any]


class StandinPlatform:
    """Store, engines and plain services, and their control port."""

    def __init__(self, spec: Spec) -> None:
        self._spec = spec
        self._store = standin_store.StandinStore()
        self._fleet = chain_fleet.ChainFleet()
        self._fleet.event_seconds = EVENT_SECONDS
        self._starts = 0
        self._config: Spec = spec["config"]
        self._backups: collections.deque[standin_store.Backup] = (
            collections.deque(maxlen=BACKUPS_KEPT)
        )

    async def run(self) -> None:
        """Serve until the process is terminated."""
        self._put_config(self._config)
        async with anyio.create_task_group() as tasks:
            for one in self._spec["upstreams"]:
                await self._add_upstream(one, tasks)
            store = store_http.StoreApp(self._store).build()
            await tasks.start(
                http_server.serve_http, store, HOST, self._spec["store"]
            )
            control = applications.Starlette(
                routes=[
                    routing.Route("/do", self._execute, methods=["POST"]),
                    routing.Route("/runs", self._runs),
                    routing.Route("/falls", self._crashes),
                    routing.Route("/arrivals", self._arrivals),
                ]
            )
            await tasks.start(
                http_server.serve_http, control, HOST, self._spec["control"]
            )
            tasks.start_soon(chain_http.heartbeat, self._fleet, self._store)
            tasks.start_soon(self._back_up)
            print("ready", flush=True)

    async def _add_upstream(
        self, one: Spec, tasks: anyio.abc.TaskGroup
    ) -> None:
        listed = chain.Upstream(
            name=one["name"],
            service=one["service"],
            address=instances.Address(HOST, one["known_as"]),
            availability_zone=one["zone"],
            slots=8,
            is_leaving=False,
            card=one["card"],
        )
        await chain_http.serve(
            self._fleet,
            listed,
            tasks,
            port=one["port"],
            advertised_address=listed.address,
        )
        self._fleet.at(listed.address).call_seconds = CALL_SECONDS

    async def _back_up(self) -> None:
        while True:
            self._backups.append(self._store.back_up())
            await anyio.sleep(BACKUP_SECONDS)

    async def _restore(self, age: int, seconds: float) -> None:
        """Have the store down for some time, then restored from a backup."""
        self._store.is_down = True
        await anyio.sleep(seconds)
        self._store.restore(self._backups[-min(age, len(self._backups))])
        self._store.is_down = False
        await anyio.sleep(REWRITE_SECONDS)
        self._put_config(self._config)

    def _put_config(self, body: Spec) -> None:
        self._config = body
        self._store.write(
            names.CONFIG_KIND, names.CONFIG_NAME, orjson.dumps(body)
        )

    async def _execute(self, request: requests.Request) -> responses.Response:
        order = orjson.loads(await request.body())
        what = order["what"]
        if what == "config":
            self._put_config(order["body"])
        elif what == "store":
            self._store.is_down = order["is_down"]
        elif what == "restore":
            await self._restore(order["age"], order["seconds"])
        elif what == "forget":
            self._store.forget_history()
        elif what == "lose":
            self._store.lost_replies += order["count"]
        elif what == "foreign":
            self._write_foreign(order["number"])
        elif what == "ending":
            self._fleet.crashing_bodies.add(order["body"].encode())
        else:
            target = self._fleet.upstreams[order["upstream"]]
            self._strike(what, target, float(order.get("value", 0.0)))
        return responses.Response()

    def _strike(
        self, what: str, target: chain_fleet.StandinUpstream, value: float
    ) -> None:
        if what == "dark":
            target.is_unresponsive = True
        elif what == "dead":
            target.is_dead = True
            self._store.remove(
                names.UPSTREAM_KIND, target.listed.incarnation.id
            )
        elif what == "back":
            self._restart(target, keeps_id=False)
        elif what == "back_under_its_id":
            self._restart(target, keeps_id=True)
        elif what == "lose_answers":
            target.lost_answers += 2
        elif what == "reject":
            target.rejected_requests += 3
        elif what == "limit":
            target.limit = value
        elif what == "rest":
            target.rejected_requests, target.backoff = 3, value
        elif what == "leave":
            target.announces_leaving = True
        elif what == "fail_all":
            target.failed_calls, target.break_stream_after = UNLIMITED, 1
            target.breaks_every_stream = True
        elif what == "lose_all":
            target.lost_answers = UNLIMITED
        elif what == "reject_all":
            target.rejected_requests = UNLIMITED
        elif what == "mend":
            target.failed_calls = target.lost_answers = (
                target.rejected_requests
            ) = 0
            target.break_stream_after, target.breaks_every_stream = -1, False
        elif what == "calm":
            target.limit = None
            target.rejected_requests, target.backoff = 0, 0.0
            target.announces_leaving = False

    def _restart(
        self, target: chain_fleet.StandinUpstream, keeps_id: bool
    ) -> None:
        """Restart an instance; one that was dead has a new incarnation."""
        if target.is_dead:
            self._starts += 1
            listed = target.listed
            incarnation = chain.Incarnation(
                listed.incarnation.id, self._starts
            )
            if not keeps_id:
                name = listed.incarnation.id.partition(".")[0]
                incarnation = chain.Incarnation(f"{name}.{self._starts}")
            target.listed = attrs.evolve(
                listed,
                name=incarnation.name,
                instance_id=incarnation.id if incarnation.started_ms else "",
                started_ms=incarnation.started_ms,
                layers=None,
            )
            target.orders_taken = 0
        target.is_dead = target.is_unresponsive = False

    def _write_foreign(self, number: int) -> None:
        """Write foreign values to an upstream's key and to the lease."""
        values = (
            b"7",
            b'{"service": 1}',
            b'{"service":"model","address":"u0:80","state":"lost"}',
            b'{"service":"model","address":"127.0.0.1:99999","layers":[1]}',
        )
        value = values[number % len(values)]
        self._store.write(names.UPSTREAM_KIND, f"foreign-{number}", value)
        self._store.write(leases.KIND, "placement", value)

    async def _runs(self, request: requests.Request) -> responses.Response:
        runs = [[one.request, one.upstream] for one in self._fleet.runs]
        return responses.Response(orjson.dumps(runs))

    async def _arrivals(self, request: requests.Request) -> responses.Response:
        arrivals = {
            service: counter.arrivals
            for service, counter in self._fleet.repeat_counters.items()
        }
        return responses.Response(orjson.dumps(arrivals))

    async def _crashes(self, request: requests.Request) -> responses.Response:
        """Return which instances crashed under a request, in order."""
        numbers = {
            id(one): number for number, one in enumerate(self._fleet.upstreams)
        }
        return responses.Response(
            orjson.dumps(
                [numbers[id(one.target)] for one in self._fleet.crashes]
            )
        )


if __name__ == "__main__":
    anyio.run(StandinPlatform(json.loads(sys.argv[1])).run)
