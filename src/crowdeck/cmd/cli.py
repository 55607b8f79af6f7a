# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""``crowdeck``: the operators' command line."""

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
DEFAULT_TIMEOUT = 10.0
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
  0 done   1 failed   2 wrong usage or file   3 a racing edit
  4 the platform or an instance could not be reached
"""

Command = collections.abc.Callable[
    [operators.Operator], collections.abc.Awaitable[commands.Result]
]


def main(arguments: list[str] | None = None) -> int:
    """Run one command; returns its exit code."""
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
        print(f"the demo failed: {failure}", file=sys.stderr)
    return commands.EXIT_FAILED if failure else commands.EXIT_OK


def _run(options: argparse.Namespace) -> commands.Result:
    if options.command == "check":
        return commands.check_file(options.file)
    if options.command == "explain":
        return inspection.explain_request(
            options.id, options.files, options.gap
        )
    if options.command == "losses":
        return inspection.account_losses(
            options.files,
            losses.Objectives(options.first, options.gap),
            options.every,
        )
    if not options.platform:
        raise errors.ConfigError(
            f"say where the platform is: --platform URL or {PLATFORM_VARIABLE}"
        )
    outcome = anyio.run(_run_command, options)
    if isinstance(outcome, errors.CrowdeckError):
        raise outcome
    return outcome


async def _run_command(
    options: argparse.Namespace,
) -> commands.Result | errors.CrowdeckError:
    """Run a command that needs the platform.

    The error is returned, since task groups would wrap what is raised.
    """
    tls = configs.TlsFiles(options.certificate, options.key, options.authority)
    async with (
        capnp.kj_loop(),
        operators.Operator(
            options.platform, options.cluster, options.timeout, tls.load()
        ) as operator,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(_show_progress, options.command)
        outcome: commands.Result | errors.CrowdeckError
        try:
            outcome = await _pick(options)(operator)
        except errors.CrowdeckError as error:
            outcome = error
        tasks.cancel_scope.cancel()
    return outcome


async def _show_progress(command: str) -> None:
    waited = 0.0
    while True:
        await anyio.sleep(PROGRESS_SECONDS)
        waited += PROGRESS_SECONDS
        print(f"{command}: {waited:.0f} s ...", file=sys.stderr, flush=True)


def _pick(options: argparse.Namespace) -> Command:
    match options.command:
        case "status":
            return inspection.show_status
        case "upstreams":
            return commands.show_upstreams
        case "placement":
            return lambda one: inspection.show_placement(one.store)
        case "bound":
            return lambda one: inspection.show_bound(one.store)
        case "trace":
            return lambda one: commands.show_trace(one, options.id)
        case "drain":
            return lambda one: commands.drain(
                one, options.name, options.limit, not options.no_wait
            )
        case _:
            return _pick_settings(options)


def _pick_settings(options: argparse.Namespace) -> Command:
    match options.action:
        case "get":
            return lambda one: commands.get_setting(
                one, _place(options), options.option, options.why
            )
        case "set":
            return lambda one: commands.set_setting(
                one, _place(options), options.option, options.value
            )
        case "diff":
            return lambda one: commands.show_diff(one, options.file)
        case "apply":
            return lambda one: commands.apply_file(
                one, options.file, options.change
            )
        case "rollback":
            return lambda one: commands.roll_back(one, options.generation)
        case _:
            return lambda one: commands.show_history(one, options.limit)


def _place(options: argparse.Namespace) -> trees.SettingsScope:
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
    shared = argparse.ArgumentParser(add_help=False)
    shared.add_argument(
        "--json", action="store_true", help="print JSON for programs"
    )
    parser = argparse.ArgumentParser(
        prog="crowdeck",
        description="Look at and steer a crowdeck system.",
        epilog=_EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_reach(parser)
    chosen = parser.add_subparsers(dest="command", required=True)
    one = chosen.add_parser(
        "demo", parents=[shared], help="run a small system on loopback"
    )
    one.add_argument("--stay", action="store_true", help="leave it running")
    chosen.add_parser("status", parents=[shared], help="show every instance")
    chosen.add_parser(
        "upstreams", parents=[shared], help="show engines and services"
    )
    one = chosen.add_parser(
        "trace", parents=[shared], help="show one request's spans"
    )
    one.add_argument("id", help="trace id, 32 hexadecimal digits")
    one = chosen.add_parser(
        "explain",
        parents=[shared],
        help="follow one request through logs to its cause",
    )
    one.add_argument("id", help="the request's id")
    _add_log_options(one)
    one = chosen.add_parser(
        "losses",
        parents=[shared],
        help="tell from logs what was not served in time, and why",
    )
    _add_log_options(one)
    one.add_argument(
        "--first",
        type=float,
        default=0.5,
        metavar="SECONDS",
        help="time to a stream's first event that is in time",
    )
    one.add_argument(
        "--every",
        type=float,
        default=2.0,
        metavar="SECONDS",
        help="length of the spans that are told apart",
    )
    chosen.add_parser(
        "placement",
        parents=[shared],
        help="show which engines hold which layers",
    )
    chosen.add_parser(
        "bound",
        parents=[shared],
        help="show what the engines can serve at most, and what binds",
    )
    one = chosen.add_parser(
        "drain", parents=[shared], help="plan an instance's stop"
    )
    one.add_argument("name", help="the instance")
    one.add_argument("--limit", type=float, default=30.0, metavar="SECONDS")
    one.add_argument("--no-wait", action="store_true", help="only begin it")
    one = chosen.add_parser(
        "check", parents=[shared], help="check an INI file"
    )
    one.add_argument("file", type=pathlib.Path)
    _add_settings(chosen, shared)
    return parser


def _add_reach(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--platform",
        default=os.environ.get(PLATFORM_VARIABLE, ""),
        metavar="URL",
        help=f"the platform's API; default ${PLATFORM_VARIABLE}",
    )
    parser.add_argument("--cluster", default="crowdeck")
    parser.add_argument(
        "--timeout", type=float, default=DEFAULT_TIMEOUT, metavar="SECONDS"
    )
    for name in ("certificate", "key", "authority"):
        parser.add_argument(
            f"--{name}", default="", metavar="PEM", help="for mutual TLS"
        )


def _add_log_options(parser: argparse.ArgumentParser) -> None:
    """Add which logs are read, and from when on a stream is late."""
    parser.add_argument(
        "files",
        type=pathlib.Path,
        nargs="*",
        help="log files; standard input where none is named",
    )
    parser.add_argument(
        "--gap",
        type=float,
        default=0.2,
        metavar="SECONDS",
        help="pause from which a stream counts as late",
    )


def _add_settings(
    chosen: "argparse._SubParsersAction[argparse.ArgumentParser]",
    shared: argparse.ArgumentParser,
) -> None:
    settings = chosen.add_parser("settings", help="the tree of settings")
    actions = settings.add_subparsers(dest="action", required=True)
    place = argparse.ArgumentParser(add_help=False)
    for name in ("team", "service", "session"):
        place.add_argument(f"--{name}", default="", metavar="NAME")
    one = actions.add_parser(
        "get", parents=[shared, place], help="show a value, or the tree"
    )
    one.add_argument("--option", default="")
    one.add_argument("--why", action="store_true", help="say where from")
    one = actions.add_parser(
        "set", parents=[shared, place], help="override a value, or unset it"
    )
    one.add_argument("--option", required=True)
    change = one.add_mutually_exclusive_group(required=True)
    change.add_argument("--value")
    change.add_argument("--unset", action="store_true")
    one = actions.add_parser(
        "diff", parents=[shared], help="show what a file would change"
    )
    one.add_argument("file", type=pathlib.Path)
    one = actions.add_parser(
        "apply", parents=[shared], help="put a file in force"
    )
    one.add_argument("file", type=pathlib.Path)
    one.add_argument(
        "--change",
        default="",
        metavar="ID",
        help="your id of the change: safe to repeat after a lost reply",
    )
    one = actions.add_parser(
        "history", parents=[shared], help="show past generations"
    )
    one.add_argument("--limit", type=int, default=20)
    one = actions.add_parser(
        "rollback", parents=[shared], help="put an old generation in force"
    )
    one.add_argument("generation", type=int)


if __name__ == "__main__":
    sys.exit(main())
