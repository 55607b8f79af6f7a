# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The process that runs the stand-ins of the platform.

A control port takes commands over HTTP, and reports which requests ran.
"""

import collections
import json
import pathlib
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

from bench.soak import process_load
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
# The store is backed up this often, and restored from one of the last
# BACKUPS_KEPT backups.
BACKUP_SECONDS = 0.5
BACKUPS_KEPT = 10
# Time after which the operator writes its config again to a restored store.
REWRITE_SECONDS = 0.3
# More requests than a seed sends.
UNLIMITED = 10**6

JsonObject = dict[str, typing.Any]


class StandinPlatform:
    """Store, engines and plain services, and their control port."""

    def __init__(self, spec: JsonObject) -> None:
        self._spec = spec
        self._store = standin_store.StandinStore()
        self._fleet = chain_fleet.ChainFleet()
        self._fleet.event_seconds = EVENT_SECONDS
        self._restart_count = 0
        self._load: process_load.ProcessLoad | None = None
        if spec.get("load_log"):
            path = pathlib.Path(spec["load_log"])
            self._load = process_load.ProcessLoad(path)
        self._config: JsonObject = spec["config"]
        self._backups: collections.deque[standin_store.Backup] = (
            collections.deque(maxlen=BACKUPS_KEPT)
        )

    async def run(self) -> None:
        """Serve until the process is terminated."""
        self._put_config(self._config)
        async with anyio.create_task_group() as tasks:
            for upstream_spec in self._spec["upstreams"]:
                await self._add_upstream(upstream_spec, tasks)
            store = store_http.StoreApp(self._store).build()
            await tasks.start(
                http_server.serve_http, store, HOST, self._spec["store"]
            )
            control = applications.Starlette(
                routes=[
                    routing.Route("/do", self._execute, methods=["POST"]),
                    routing.Route("/runs", self._runs),
                    routing.Route("/stream_runs", self._stream_runs),
                    routing.Route("/falls", self._crashes),
                    routing.Route("/arrivals", self._arrivals),
                ]
            )
            await tasks.start(
                http_server.serve_http, control, HOST, self._spec["control"]
            )
            tasks.start_soon(chain_http.heartbeat, self._fleet, self._store)
            tasks.start_soon(self._back_up)
            if self._load is not None:
                tasks.start_soon(self._load.run)
            print("ready", flush=True)

    async def _add_upstream(
        self, upstream_spec: JsonObject, tasks: anyio.abc.TaskGroup
    ) -> None:
        listed = chain.Upstream(
            name=upstream_spec["name"],
            service=upstream_spec["service"],
            address=instances.Address(HOST, upstream_spec["known_as"]),
            availability_zone=upstream_spec["zone"],
            slots=8,
            is_leaving=False,
            card=upstream_spec["card"],
        )
        await chain_http.serve(
            self._fleet,
            listed,
            tasks,
            port=upstream_spec["port"],
            advertised_address=listed.address,
        )
        self._fleet.at(listed.address).call_seconds = CALL_SECONDS

    async def _back_up(self) -> None:
        while True:
            self._backups.append(self._store.back_up())
            await anyio.sleep(BACKUP_SECONDS)

    async def _restore(self, backups_back: int, seconds: float) -> None:
        """Stop the store for some time, then restore a backup.

        :param backups_back: which backup to restore, 1 for the latest.
        """
        self._store.is_down = True
        await anyio.sleep(seconds)
        self._store.restore(
            self._backups[-min(backups_back, len(self._backups))]
        )
        self._store.is_down = False
        await anyio.sleep(REWRITE_SECONDS)
        self._put_config(self._config)

    def _put_config(self, body: JsonObject) -> None:
        self._config = body
        self._store.write(
            names.CONFIG_KIND, names.CONFIG_NAME, orjson.dumps(body)
        )

    async def _execute(self, request: requests.Request) -> responses.Response:
        command = orjson.loads(await request.body())
        name = command["what"]
        if name == "config":
            self._put_config(command["body"])
        elif name == "store":
            self._store.is_down = command["is_down"]
        elif name == "restore":
            await self._restore(command["age"], command["seconds"])
        elif name == "forget":
            self._store.forget_history()
        elif name == "lose":
            self._store.lost_replies += command["count"]
        elif name == "foreign":
            self._write_foreign(command["number"])
        elif name == "ending":
            self._fleet.crashing_bodies.add(command["body"].encode())
        else:
            target = self._fleet.upstreams[command["upstream"]]
            self._apply_command(name, target, float(command.get("value", 0.0)))
        return responses.Response()

    def _apply_command(
        self, name: str, target: chain_fleet.StandinUpstream, value: float
    ) -> None:
        if name == "silence":
            target.silent_until = max(target.silent_until, value)
        elif name == "cut_power":
            target.is_dead = True
        elif name == "dark":
            target.is_unresponsive = True
        elif name == "dead":
            target.is_dead = True
            self._store.remove(
                names.UPSTREAM_KIND, target.listed.incarnation.id
            )
        elif name == "back":
            self._restart(target, keeps_id=False)
        elif name == "back_under_its_id":
            self._restart(target, keeps_id=True)
        elif name == "lose_answers":
            target.lost_answers += 2
        elif name == "reject":
            target.rejected_requests += 3
        elif name == "limit":
            target.limit = value
        elif name == "rest":
            target.rejected_requests, target.backoff = 3, value
        elif name == "leave":
            target.announces_leaving = True
        elif name == "fail_all":
            target.failed_calls, target.break_stream_after = UNLIMITED, 1
            target.breaks_every_stream = True
        elif name == "lose_all":
            target.lost_answers = UNLIMITED
        elif name == "reject_all":
            target.rejected_requests = UNLIMITED
        elif name == "mend":
            target.failed_calls = target.lost_answers = (
                target.rejected_requests
            ) = 0
            target.break_stream_after, target.breaks_every_stream = -1, False
        elif name == "calm":
            target.limit = None
            target.rejected_requests, target.backoff = 0, 0.0
            target.announces_leaving = False

    def _restart(
        self, target: chain_fleet.StandinUpstream, keeps_id: bool
    ) -> None:
        """Restart an instance; a dead one gets a new incarnation."""
        if target.is_dead:
            # Any increasing number serves as a start time.
            self._restart_count += 1
            listed = target.listed
            incarnation = chain.Incarnation(
                listed.incarnation.id, self._restart_count
            )
            if not keeps_id:
                self._store.remove(names.UPSTREAM_KIND, listed.incarnation.id)
                name = listed.incarnation.id.partition(".")[0]
                incarnation = chain.Incarnation(
                    f"{name}.{self._restart_count}"
                )
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
        """Write invalid values to an upstream's object and to the lease.

        Another program might write such values.
        """
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
        runs = [[run.request, run.upstream] for run in self._fleet.runs]
        return responses.Response(orjson.dumps(runs))

    async def _stream_runs(
        self, request: requests.Request
    ) -> responses.Response:
        numbers = {
            str(upstream.listed.address): number
            for number, upstream in enumerate(self._fleet.upstreams)
        }
        runs = [
            {
                "request": run.request,
                "instances": sorted(
                    numbers[address] for address in run.addresses
                ),
                "event_count": run.event_count,
                "is_lost": run.is_lost,
                "started_at": run.started_at,
            }
            for run in self._fleet.stream_runs
        ]
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
            id(upstream): number
            for number, upstream in enumerate(self._fleet.upstreams)
        }
        return responses.Response(
            orjson.dumps(
                [numbers[id(crash.target)] for crash in self._fleet.crashes]
            )
        )


if __name__ == "__main__":
    anyio.run(StandinPlatform(json.loads(sys.argv[1])).run)
