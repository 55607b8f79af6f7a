# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""``crowdeck``: the command line for operators."""

import argparse
import collections.abc
import os
import pathlib
import sys

import anyio
import attrs
import capnp
import orjson

from crowdeck.cmd import commands
from crowdeck.cmd import demo
from crowdeck.cmd import inspection
from crowdeck.cmd import operator as operators
from crowdeck import errors
from crowdeck.observe import losses
from crowdeck.settings import config as configs
from crowdeck.settings import tree as trees

PLATFORM_VARIABLE = "CROWDECK_PLATFORM"
DEFAULT_TIMEOUT_SECONDS = 10.0
PROGRESS_SECONDS = 2.0

_EXAMPLES = """\
examples:
  crowdeck demo
  crowdeck --platform http://127.0.0.1:8000 status
  crowdeck upstreams --json
  crowdeck drain engine-3 --limit 60
  crowdeck settings get --team kiosks --option concurrency --why
  crowdeck settings set --team kiosks --option concurrency --value 80
  crowdeck settings diff new.ini && crowdeck settings apply new.ini
  crowdeck trace 4bf92f3577b34da6a3ce929d0e0e4736
  crowdeck check etc/entry.ini
  crowdeck explain 9c41d07be2a35f68 entry-*.log
  crowdeck losses entry-*.log --every 5 --json
  crowdeck --platform http://127.0.0.1:8000 placement
  crowdeck --platform http://127.0.0.1:8000 bound

exit codes:
  0 success   1 failure   2 wrong usage or invalid file   3 conflicting edit
  4 the platform or an instance could not be reached
"""

Command = collections.abc.Callable[
    [operators.OperatorClient], collections.abc.Awaitable[commands.Result]
]


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    options = _build_parser().parse_args(arguments)
    try:
        if options.command == "demo":
            return _run_demo(options.stay)
        result = _run(options)
    except errors.CrowdeckError as error:
        _show_error(error, options.json)
        return commands.exit_code_of(error)
    except KeyboardInterrupt:
        return commands.EXIT_FAILED
    _show(result, options.json)
    return result.exit_code


def _run_demo(stay: bool) -> int:
    failure = anyio.run(demo.run, stay)
    if failure:
        print(f"demo failed: {failure}", file=sys.stderr)
    return commands.EXIT_FAILED if failure else commands.EXIT_OK


def _run(options: argparse.Namespace) -> commands.Result:
    if options.command == "check":
        return commands.check_file(options.file)
    if options.command == "explain":
        return inspection.explain_request(
            options.id, options.files, options.gap
        )
    if options.command == "losses":
        return inspection.summarise_losses(
            options.files,
            losses.Objectives(options.first, options.gap),
            options.every,
        )
    if not options.platform:
        raise errors.ConfigError(
            f"no platform URL: give --platform or set {PLATFORM_VARIABLE}"
        )
    outcome = anyio.run(_run_command, options)
    if isinstance(outcome, errors.CrowdeckError):
        raise outcome
    return outcome


async def _run_command(
    options: argparse.Namespace,
) -> commands.Result | errors.CrowdeckError:
    """Run a command that needs the platform.

    Errors are returned, since a task group would wrap a raised one.
    """
    tls = configs.TlsFiles(options.certificate, options.key, options.authority)
    async with (
        capnp.kj_loop(),
        operators.OperatorClient(
            options.platform, options.cluster, options.timeout, tls.load()
        ) as operator,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(_show_progress, options.command)
        outcome: commands.Result | errors.CrowdeckError
        try:
            outcome = await _select_command(options)(operator)
        except errors.CrowdeckError as error:
            outcome = error
        tasks.cancel_scope.cancel()
    return outcome


async def _show_progress(command: str) -> None:
    waited = 0.0
    while True:
        await anyio.sleep(PROGRESS_SECONDS)
        waited += PROGRESS_SECONDS
        print(
            f"{command}: waiting for {waited:.0f} s",
            file=sys.stderr,
            flush=True,
        )


def _select_command(options: argparse.Namespace) -> Command:
    match options.command:
        case "status":
            return inspection.show_status
        case "upstreams":
            return commands.show_upstreams
        case "placement":
            return lambda operator: inspection.show_placement(operator.store)
        case "bound":
            return lambda operator: inspection.show_bound(operator.store)
        case "trace":
            return lambda operator: commands.show_trace(operator, options.id)
        case "drain":
            return lambda operator: commands.drain(
                operator, options.name, options.limit, not options.no_wait
            )
        case _:
            return _select_settings_command(options)


def _select_settings_command(options: argparse.Namespace) -> Command:
    match options.action:
        case "get":
            return lambda operator: commands.get_setting(
                operator, _scope(options), options.option, options.why
            )
        case "set":
            return lambda operator: commands.set_setting(
                operator, _scope(options), options.option, options.value
            )
        case "diff":
            return lambda operator: commands.show_diff(operator, options.file)
        case "apply":
            return lambda operator: commands.apply_file(
                operator, options.file, options.change
            )
        case "rollback":
            return lambda operator: commands.roll_back(
                operator, options.generation
            )
        case _:
            return lambda operator: commands.show_history(
                operator, options.limit
            )


def _scope(options: argparse.Namespace) -> trees.SettingsScope:
    return trees.SettingsScope(options.team, options.service, options.session)


def _show(result: commands.Result, is_json: bool) -> None:
    if is_json:
        sys.stdout.write(orjson.dumps(result.data).decode() + "\n")
    else:
        print(result.text)


def _show_error(error: errors.CrowdeckError, is_json: bool) -> None:
    report = errors.ErrorReport.of(error)
    if is_json:
        body = orjson.dumps({"error": attrs.asdict(report)})
        sys.stdout.write(body.decode() + "\n")
    else:
        print(f"{report.code}: {report.message}", file=sys.stderr)


def _build_parser() -> argparse.ArgumentParser:
    json_option = argparse.ArgumentParser(add_help=False)
    json_option.add_argument("--json", action="store_true", help="print JSON")
    parser = argparse.ArgumentParser(
        prog="crowdeck",
        description="Inspect and operate a crowdeck system.",
        epilog=_EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_connection_options(parser)
    subparsers = parser.add_subparsers(dest="command", required=True)
    subparser = subparsers.add_parser(
        "demo", parents=[json_option], help="run a small system on loopback"
    )
    subparser.add_argument(
        "--stay",
        action="store_true",
        help="keep it running after the last step",
    )
    subparsers.add_parser(
        "status", parents=[json_option], help="show every instance"
    )
    subparsers.add_parser(
        "upstreams", parents=[json_option], help="show engines and services"
    )
    subparser = subparsers.add_parser(
        "trace", parents=[json_option], help="show one request's spans"
    )
    subparser.add_argument("id", help="trace id, 32 hexadecimal digits")
    subparser = subparsers.add_parser(
        "explain",
        parents=[json_option],
        help="find in logs why one request failed or was late",
    )
    subparser.add_argument("id", help="the request's id")
    _add_log_options(subparser)
    subparser = subparsers.add_parser(
        "losses",
        parents=[json_option],
        help="summarise from logs which requests were lost or late, and why",
    )
    _add_log_options(subparser)
    subparser.add_argument(
        "--first",
        type=float,
        default=0.5,
        metavar="SECONDS",
        help="time to the first event beyond which a stream is late",
    )
    subparser.add_argument(
        "--every",
        type=float,
        default=2.0,
        metavar="SECONDS",
        help="length of the intervals that are reported separately",
    )
    subparsers.add_parser(
        "placement",
        parents=[json_option],
        help="show which engines hold which layers",
    )
    subparsers.add_parser(
        "bound",
        parents=[json_option],
        help="show the engines' maximum throughput and its bottleneck",
    )
    subparser = subparsers.add_parser(
        "drain",
        parents=[json_option],
        help="begin a planned stop of an instance",
    )
    subparser.add_argument("name", help="name of the instance")
    subparser.add_argument(
        "--limit", type=float, default=30.0, metavar="SECONDS"
    )
    subparser.add_argument(
        "--no-wait",
        action="store_true",
        help="return without waiting until it is idle",
    )
    subparser = subparsers.add_parser(
        "check", parents=[json_option], help="check an INI file"
    )
    subparser.add_argument("file", type=pathlib.Path)
    _add_settings_commands(subparsers, json_option)
    return parser


def _add_connection_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--platform",
        default=os.environ.get(PLATFORM_VARIABLE, ""),
        metavar="URL",
        help=f"the platform's API; default ${PLATFORM_VARIABLE}",
    )
    parser.add_argument("--cluster", default="crowdeck")
    parser.add_argument(
        "--timeout",
        type=float,
        default=DEFAULT_TIMEOUT_SECONDS,
        metavar="SECONDS",
    )
    for name in ("certificate", "key", "authority"):
        parser.add_argument(
            f"--{name}", default="", metavar="PEM", help="for mutual TLS"
        )


def _add_log_options(parser: argparse.ArgumentParser) -> None:
    """Add the log file arguments and the threshold for late streams."""
    parser.add_argument(
        "files",
        type=pathlib.Path,
        nargs="*",
        help="log files; default standard input",
    )
    parser.add_argument(
        "--gap",
        type=float,
        default=0.2,
        metavar="SECONDS",
        help="pause between events beyond which a stream is late",
    )


def _add_settings_commands(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]",
    json_option: argparse.ArgumentParser,
) -> None:
    settings = subparsers.add_parser(
        "settings", help="show and change the settings tree"
    )
    action_parsers = settings.add_subparsers(dest="action", required=True)
    scope = argparse.ArgumentParser(add_help=False)
    for name in ("team", "service", "session"):
        scope.add_argument(f"--{name}", default="", metavar="NAME")
    subparser = action_parsers.add_parser(
        "get",
        parents=[json_option, scope],
        help="show a value, or the whole tree",
    )
    subparser.add_argument("--option", default="")
    subparser.add_argument(
        "--why", action="store_true", help="show which section sets it"
    )
    subparser = action_parsers.add_parser(
        "set",
        parents=[json_option, scope],
        help="override a value, or unset it",
    )
    subparser.add_argument("--option", required=True)
    change = subparser.add_mutually_exclusive_group(required=True)
    change.add_argument("--value")
    change.add_argument("--unset", action="store_true")
    subparser = action_parsers.add_parser(
        "diff", parents=[json_option], help="show what a file would change"
    )
    subparser.add_argument("file", type=pathlib.Path)
    subparser = action_parsers.add_parser(
        "apply", parents=[json_option], help="make a file the current settings"
    )
    subparser.add_argument("file", type=pathlib.Path)
    subparser.add_argument(
        "--change",
        default="",
        metavar="ID",
        help="id of the change, for a safe retry after a lost reply",
    )
    subparser = action_parsers.add_parser(
        "history",
        parents=[json_option],
        help="show the stored generations, newest first",
    )
    subparser.add_argument("--limit", type=int, default=20)
    subparser = action_parsers.add_parser(
        "rollback", parents=[json_option], help="restore an earlier generation"
    )
    subparser.add_argument("generation", type=int)


if __name__ == "__main__":
    sys.exit(main())
