# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Entry processes of one seed, each with a proxy in front of the store."""

import contextlib
import pathlib
import sys
import types
import typing

import anyio
import anyio.abc
import attrs

from bench.soak import proxy as proxies

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).parent.parent.parent
# A revoked key stops working within this time.
REVOCATION_SECONDS = 5.0
PORTS_PER_ENTRY = 4


@attrs.frozen
class Endpoints:
    """Ports of one entry, and its proxy to the store."""

    caller_port: int
    status_port: int
    peer_port: int
    store_proxy: proxies.Proxy


class Entries:
    """Starts entries, and kills on exit those that still run.

    :param ports: ``PORTS_PER_ENTRY`` for each entry.
    :param has_peers: whether entries of a zone ask one another for changes of
        the store, and all tell one another their load.
    :param settings: further lines of each entry's ``[fleet]`` section.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        store_port: int,
        ports: typing.Sequence[int],
        has_peers: bool,
        settings: str = "",
    ) -> None:
        self._settings = settings
        self._folder = folder
        self._has_peers = has_peers
        self.endpoints = [
            Endpoints(
                caller_port,
                status_port,
                peer_port,
                proxies.Proxy(proxy_port, store_port),
            )
            for caller_port, status_port, peer_port, proxy_port in zip(
                *[iter(ports)] * PORTS_PER_ENTRY, strict=True
            )
        ]
        self.processes: dict[int, anyio.abc.Process] = {}
        self._replaced: set[anyio.abc.Process] = set()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> typing.Self:
        """Return the entries; none is started yet."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Kill all processes and close their logs."""
        await self._stack.aclose()

    def name_at(self, caller_port: int) -> str:
        """Return the name of the entry that serves callers at a port."""
        for number, endpoint in enumerate(self.endpoints):
            if endpoint.caller_port == caller_port:
                return f"entry-{number}"
        raise ValueError(f"expected an entry's port, found {caller_port}")

    async def start(self, number: int) -> None:
        """Start or restart an entry."""
        path = self._folder / f"entry-{number}.ini"
        path.write_text(self._ini(number))
        log = self._stack.enter_context(
            (self._folder / f"entry-{number}.log").open("ab")
        )
        process = await anyio.open_process(
            [
                sys.executable,
                str(ROOT / "deploy" / "crowdeckd.py"),
                "--config",
                str(path),
            ],
            stdout=log,
            stderr=log,
        )
        self.processes[number] = process
        self._stack.push_async_callback(kill, process)

    async def start_again(self, number: int, ended: anyio.abc.Process) -> None:
        """Start an entry, unless another fault has already started it.

        :param ended: the process that has ended.
        """
        if self.processes[number] is ended and ended not in self._replaced:
            self._replaced.add(ended)
            await self.start(number)

    def _ini(self, number: int) -> str:
        zone = ("a", "b")[number % 2]
        endpoint = self.endpoints[number]
        peers = f"peers = {HOST}:{endpoint.peer_port}\nshare_load = on\n"
        return (
            f"[crowdeckd]\nrole = entry\nname = entry-{number}\n"
            f"availability_zone = {zone}\nhost = {HOST}\n"
            f"[platform]\nurl = http://{HOST}:{endpoint.store_proxy.port}\n"
            f"[entry]\nhttp_host = {HOST}\n"
            f"[fleet]\ncallers = {HOST}:{endpoint.caller_port}\n"
            f"status = {HOST}:{endpoint.status_port}\n"
            f"revocation_ms = {REVOCATION_SECONDS * 1000:.0f}\n"
            "grace_seconds = 4\n"
            + self._settings
            + (peers if self._has_peers else "")
        )


async def kill(process: anyio.abc.Process) -> None:
    """Kill a process that still runs, and close its streams."""
    if process.returncode is None:
        process.kill()
    await process.aclose()
