# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""uvicorn as the daemons run it: without signals and logs of its own."""

import asyncio
import contextlib
import logging
import socket
import typing

import anyio
import anyio.abc
import uvicorn

from crowdeck.observe import logs

STOP_SECONDS = 2
START_STEP = 0.005
# How often a server looks whether it is to end. The library's tenth of a
# second woke an entry with three servers 30 times a second all day.
TICK_SECONDS = 0.25
TICKS_A_HEADER = 4


class _ToOurLogs(logging.Handler):
    """Turns what uvicorn has to say into lines of our own log.

    A request that is cancelled is no error of the application: that
    happens only when its process ends.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record."""
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, asyncio.CancelledError):
            return
        message = record.getMessage().splitlines()[0]
        logs.change("http_server", message=message, error=repr(error))


def _take_logs() -> None:
    logger = logging.getLogger("uvicorn.error")
    if not any(isinstance(one, _ToOurLogs) for one in logger.handlers):
        logger.addHandler(_ToOurLogs())
        logger.propagate = False


class QuietServer(uvicorn.Server):
    """uvicorn without its own signal handling: the process has its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> typing.Iterator[None]:
        """Leave signals alone."""
        yield

    async def main_loop(self) -> None:
        """Wait until told to exit; renew the date header every second."""
        tick = 0
        # The library renews its headers where the count ends in zero.
        while not await self.on_tick(min(1, tick % TICKS_A_HEADER)):
            tick += 1
            await anyio.sleep(TICK_SECONDS)


def build(
    app: typing.Any, host: str, port: int, **options: typing.Any
) -> QuietServer:
    """Return a server for an ASGI application, not started yet."""
    _take_logs()
    return QuietServer(
        uvicorn.Config(
            app,
            host=host,
            port=port,
            log_level="error",
            log_config=None,
            access_log=False,
            lifespan="off",
            server_header=False,
            **options,
        )
    )


async def run(
    server: QuietServer,
    listener: socket.socket | None = None,
    *,
    task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until told to exit or cancelled; reports the port.

    :param listener: a socket that listens already, instead of a new one.
    """
    sockets = None if listener is None else [listener]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, sockets)
        while not server.started:
            await anyio.sleep(START_STEP)
        task_status.started(server.servers[0].sockets[0].getsockname()[1])


async def serve_http(
    app: typing.Any,
    host: str,
    port: int,
    *,
    certificate: str = "",
    key: str = "",
    task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application until cancelled; reports its port."""
    server = build(
        app,
        host,
        port,
        timeout_graceful_shutdown=STOP_SECONDS,
        ssl_certfile=certificate or None,
        ssl_keyfile=key or None,
    )
    await run(server, task_status=task_status)
