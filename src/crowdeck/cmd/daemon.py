# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""``crowdeckd``: runs one entry or one sidecar."""

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
  crowdeckd --config entry.ini           run until told to stop
  crowdeckd --config entry.ini --check   check the file and end

signals:
  SIGTERM, SIGINT   planned stop: no new work, running work finishes;
                    a second one hurries it
  SIGHUP            read the configuration again, change what may change
"""


class Stoppable(typing.Protocol):
    """A process of either kind."""

    @property
    def is_running(self) -> bool:
        """Whether the process has begun to serve."""
        ...

    async def run(self) -> None:
        """Serve until stopped."""
        ...

    def reconfigure(self, config: configs.Config) -> None:
        """Take a configuration that was read again."""
        ...

    async def stop(self, force: bool = False) -> None:
        """Stop as planned."""
        ...


class HangupRecorder:
    """Remembers a SIGHUP that came before it could be acted on.

    By default it would end the process; ignored, a change of the file made
    while it was being read would be missed.
    """

    def __init__(self) -> None:
        self.has_come = False
        signal.signal(signal.SIGHUP, self._note)

    def _note(self, number: int, frame: object) -> None:
        self.has_come = True


def main(
    arguments: list[str] | None = None,
    listener: socket.socket | None = None,
) -> int:
    """Run the daemon; returns its exit code.

    :param listener: the callers' socket, where it is open already.
    """
    options = _parser().parse_args(arguments)
    hangup = HangupRecorder()
    try:
        config = checks.check(options.config)
    except errors.ConfigError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        return EXIT_CONFIG
    if options.check:
        print(f"{options.config}: in order")
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


def _parser() -> argparse.ArgumentParser:
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
        "--check", action="store_true", help="check FILE and end"
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
    # Only where sidecars chain the stages: Cap'n Proto takes memory that
    # a process without links of its own would waste.
    import capnp

    from crowdeck.cmd import process as processes

    async with capnp.kj_loop():
        await _run(processes.Process(config), config, path, hangup)


async def _run(
    process: Stoppable,
    config: configs.Config,
    path: pathlib.Path,
    hangup: HangupRecorder,
) -> None:
    async with anyio.create_task_group() as tasks:
        await tasks.start(_handle_signals, process, path, tasks.cancel_scope)
        logs.change("starting", instance=config.name)
        if hangup.has_come:
            _reread(process, path)
        await process.run()
        tasks.cancel_scope.cancel()


async def _handle_signals(
    process: Stoppable,
    path: pathlib.Path,
    whole: anyio.CancelScope,
    *,
    task_status: anyio.abc.TaskStatus[None],
) -> None:
    stop_signals = (signal.SIGTERM, signal.SIGINT)
    with anyio.open_signal_receiver(*stop_signals, signal.SIGHUP) as received:
        task_status.started()
        async with anyio.create_task_group() as tasks:
            has_begun = False
            async for number in received:
                if number == signal.SIGHUP:
                    _reread(process, path)
                    continue
                if not process.is_running:
                    # It waits for its engine or platform; nothing runs
                    # that a planned stop would have to wait for.
                    whole.cancel()
                    return
                tasks.start_soon(process.stop, has_begun)
                has_begun = True


def _reread(process: Stoppable, path: pathlib.Path) -> None:
    try:
        config = checks.check(path)
    except errors.ConfigError as error:
        logs.change("config_refused", reason=error.message)
        return
    process.reconfigure(config)


if __name__ == "__main__":
    sys.exit(main())
