# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""``crowdeckd``: the daemon that runs one entry or one sidecar."""

import argparse
import pathlib
import signal
import socket
import sys
import typing

import anyio
import anyio.abc

from crowdeck.cmd import checks
from crowdeck.cmd import fleet_process
from crowdeck import errors
from crowdeck.observe import logs
from crowdeck.settings import config as configs
from crowdeck import timers

EXIT_CONFIG = 2

_EXAMPLES = """\
examples:
  crowdeckd --config entry.ini           run until stopped
  crowdeckd --config entry.ini --check   check the file and exit

signals:
  SIGTERM, SIGINT   planned stop: report unready, finish running requests;
                    a second signal cuts the wait short
  SIGHUP            reload the options that can change at run time
"""


class DaemonProcess(typing.Protocol):
    """An entry or a sidecar that the daemon runs."""

    @property
    def is_running(self) -> bool:
        """Whether the process has begun to serve."""
        ...

    async def run(self) -> None:
        """Serve until stopped."""
        ...

    def reconfigure(self, config: configs.Config) -> None:
        """Apply a reloaded configuration."""
        ...

    async def stop(self, force: bool = False) -> None:
        """Let running requests finish, then stop; ``force`` skips the wait."""
        ...


class HangupRecorder:
    """Records a SIGHUP that arrives before the daemon handles signals.

    The default action would end the process. If the signal were ignored, a
    change made while the configuration is being read would be missed.
    """

    def __init__(self) -> None:
        self.was_received = False
        signal.signal(signal.SIGHUP, self._record_signal)

    def _record_signal(self, signal_number: int, frame: object) -> None:
        self.was_received = True


def main(
    arguments: list[str] | None = None,
    listener: socket.socket | None = None,
) -> int:
    """Run the daemon and return its exit code.

    :param listener: the socket for callers, if it is already open.
    """
    options = _build_parser().parse_args(arguments)
    hangup = HangupRecorder()
    try:
        config = checks.check(options.config)
    except errors.ConfigError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        return EXIT_CONFIG
    if options.check:
        print(f"{options.config}: valid configuration")
        return 0
    logs.to_stdout()
    anyio.run(
        _serve,
        config,
        options.config,
        hangup,
        listener,
        backend_options={"loop_factory": timers.BootTimeEventLoop},
    )
    return 0


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="crowdeckd",
        description="Run one entry or one sidecar of crowdeck.",
        epilog=_EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--config", type=pathlib.Path, required=True, metavar="FILE"
    )
    parser.add_argument(
        "--check", action="store_true", help="check FILE and exit"
    )
    return parser


async def _serve(
    config: configs.Config,
    path: pathlib.Path,
    hangup: HangupRecorder,
    listener: socket.socket | None,
) -> None:
    if config.is_fleet:
        process = fleet_process.FleetProcess(config, listener)
        await _run(process, config, path, hangup)
        return
    # Imported only here: a fleet entry does not use Cap'n Proto, and loading
    # it costs memory.
    import capnp

    from crowdeck.cmd import process as processes

    async with capnp.kj_loop():
        await _run(processes.Process(config), config, path, hangup)


async def _run(
    process: DaemonProcess,
    config: configs.Config,
    path: pathlib.Path,
    hangup: HangupRecorder,
) -> None:
    async with anyio.create_task_group() as tasks:
        await tasks.start(_handle_signals, process, path, tasks.cancel_scope)
        logs.change("starting", instance=config.name)
        if hangup.was_received:
            _reload(process, path)
        await process.run()
        tasks.cancel_scope.cancel()


async def _handle_signals(
    process: DaemonProcess,
    path: pathlib.Path,
    scope: anyio.CancelScope,
    *,
    task_status: anyio.abc.TaskStatus[None],
) -> None:
    stop_signals = (signal.SIGTERM, signal.SIGINT)
    with anyio.open_signal_receiver(*stop_signals, signal.SIGHUP) as signals:
        task_status.started()
        async with anyio.create_task_group() as tasks:
            is_stopping = False
            async for signal_number in signals:
                if signal_number == signal.SIGHUP:
                    _reload(process, path)
                    continue
                if not process.is_running:
                    # The process still waits for its engine or platform,
                    # so there are no requests to drain.
                    scope.cancel()
                    return
                tasks.start_soon(process.stop, is_stopping)
                is_stopping = True


def _reload(process: DaemonProcess, path: pathlib.Path) -> None:
    try:
        config = checks.check(path)
    except errors.ConfigError as error:
        logs.change("config_refused", reason=error.message)
        return
    process.reconfigure(config)


if __name__ == "__main__":
    sys.exit(main())
