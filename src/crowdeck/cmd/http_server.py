# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Runs uvicorn without its own signal handling and logging."""

import asyncio
import contextlib
import logging
import socket
import typing

import anyio
import anyio.abc
import uvicorn

from crowdeck.observe import logs

if typing.TYPE_CHECKING:
    # Loaded when a server is built, after the start of the process.
    from crowdeck.serving import limits as client_limits

GRACEFUL_SHUTDOWN_SECONDS = 2
START_POLL_SECONDS = 0.005
# Interval at which a server checks whether to exit. Longer than uvicorn's, so
# that an idle process wakes less often. With its 0.1 s a process with three
# servers would wake 30 times a second.
TICK_SECONDS = 0.25
TICKS_PER_DATE_HEADER = 4


class _LogForwarder(logging.Handler):
    """Forwards uvicorn's log records to crowdeck's log.

    Cancelled requests are not logged, as they occur only at shutdown.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record."""
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, asyncio.CancelledError):
            return
        message = record.getMessage().splitlines()[0]
        logs.change("http_server", message=message, error=repr(error))


def _forward_uvicorn_logs() -> None:
    logger = logging.getLogger("uvicorn.error")
    if not any(
        isinstance(handler, _LogForwarder) for handler in logger.handlers
    ):
        logger.addHandler(_LogForwarder())
        logger.propagate = False


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the process.

    :param intake: what bounds its clients, if they are bounded.
    """

    def __init__(
        self,
        config: uvicorn.Config,
        intake: "client_limits.Intake | None" = None,
    ) -> None:
        super().__init__(config)
        self._intake = intake

    def open_listener(
        self, listener: socket.socket | None = None
    ) -> socket.socket | None:
        """Return the socket to listen on, ``None`` for one of uvicorn's.

        :param listener: a listening socket to use instead of a new one.
        """
        if self._intake is None:
            return listener
        from crowdeck.serving import listener as listeners

        account = self._intake.listener
        if listener is not None:
            return listeners.counting(listener, account)
        return listeners.listen(self.config.host, self.config.port, account)

    async def startup(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Begin to listen."""
        if self._intake is None or not sockets:
            await super().startup(sockets)
            return
        from crowdeck.serving import listener as listeners

        (listener,) = sockets
        loop = asyncio.get_running_loop()
        limits = self._intake.limits()
        server = await loop.create_server(
            self._make_protocol,
            sock=listener,
            ssl=self.config.ssl,
            ssl_handshake_timeout=(
                limits.header_seconds if self.config.ssl else None
            ),
            backlog=listeners.ACCEPT_BATCH,
        )
        listener.listen(self.config.backlog)
        self.servers = [server]
        self.started = True

    def _make_protocol(self) -> asyncio.Protocol:
        make_protocol: typing.Any = self.config.http_protocol_class
        protocol: asyncio.Protocol = make_protocol(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
            intake=self._intake,
        )
        return protocol

    @contextlib.contextmanager
    def capture_signals(self) -> typing.Iterator[None]:
        """Install no signal handlers."""
        yield

    async def main_loop(self) -> None:
        """Wait for the exit flag; update the date header every second."""
        tick = 0
        # on_tick updates the date header if its argument is a multiple of ten,
        # so it is called with 0 once a second and with 1 in between.
        while not await self.on_tick(min(1, tick % TICKS_PER_DATE_HEADER)):
            tick += 1
            await anyio.sleep(TICK_SECONDS)


def build(
    app: typing.Any,
    host: str,
    port: int,
    *,
    intake: "client_limits.Intake | None" = None,
    **options: typing.Any,
) -> EmbeddedServer:
    """Return a server for an ASGI application, not yet started.

    :param intake: what bounds its clients, if they are bounded.
    """
    _forward_uvicorn_logs()
    if intake is not None:
        from crowdeck.serving import protocol

        options.setdefault("http", protocol.BoundedProtocol)
    return EmbeddedServer(
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
        ),
        intake,
    )


async def run(
    server: EmbeddedServer,
    listener: socket.socket | None = None,
    *,
    task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until the server's exit flag is set or the task is cancelled.

    :param listener: a listening socket to use instead of a new one.
    :param task_status: reports the port.
    """
    opened = server.open_listener(listener)
    sockets = None if opened is None else [opened]
    async with contextlib.AsyncExitStack() as stack:
        if opened is not None:
            # Closed after the server's task, which may be closing it.
            stack.callback(opened.close)
        tasks = await stack.enter_async_context(anyio.create_task_group())
        tasks.start_soon(server.serve, sockets)
        while not server.started:
            await anyio.sleep(START_POLL_SECONDS)
        task_status.started(server.servers[0].sockets[0].getsockname()[1])


async def serve_http(
    app: typing.Any,
    host: str,
    port: int,
    *,
    certificate: str = "",
    key: str = "",
    intake: "client_limits.Intake | None" = None,
    task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application until cancelled.

    :param intake: what bounds its clients, if they are bounded.
    :param task_status: reports the port.
    """
    server = build(
        app,
        host,
        port,
        timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_SECONDS,
        ssl_certfile=certificate or None,
        ssl_keyfile=key or None,
        intake=intake,
    )
    await run(server, task_status=task_status)
