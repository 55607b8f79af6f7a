# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Commands for operators; each returns data and text to show."""

import json
import pathlib
import typing

import anyio
import attrs

from crowdeck.cmd import checks
from crowdeck.cmd import entry_status
from crowdeck.cmd import operator as operators
from crowdeck import errors
from crowdeck.settings import config as configs
from crowdeck.settings import editor as editors
from crowdeck.settings import tree as trees
from crowdeck.wire import questions

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4

DRAIN_POLL_SECONDS = 0.25

Data = typing.Any


@attrs.frozen
class Result:
    """The result of a command.

    :ivar data: printed as JSON for programs.
    :ivar text: printed for people.
    """

    data: Data
    text: str
    exit_code: int = EXIT_OK


def exit_code_of(error: errors.CrowdeckError) -> int:
    """Return the exit code for an error."""
    match error.code:
        case errors.Code.STORE_CONFLICT:
            return EXIT_CONFLICT
        case errors.Code.CONFIG | errors.Code.SETTINGS:
            return EXIT_USAGE
        case errors.Code.STORE_DOWN | errors.Code.LINK_LOST:
            return EXIT_UNREACHABLE
        case _:
            return EXIT_FAILED


async def show_status(operator: operators.OperatorClient) -> Result:
    """Show the state of every instance."""
    replies = await operator.ask_all(questions.ReadStatus(""))
    rows = [_status_row(instance_reply) for instance_reply in replies]
    rows += await operator.read_entry_statuses()
    lost = any(row["state"] == "lost" for row in rows)
    columns = ("instance", "role", "state", "running", "generation")
    return Result(
        rows,
        "\n".join(
            [format_table(rows, columns), *_unheld_lines(rows)]
            + _backpressure_lines(rows)
            + _load_exchange_lines(rows)
        ),
        EXIT_UNREACHABLE if lost else EXIT_OK,
    )


def _unheld_lines(rows: list[dict[str, Data]]) -> list[str]:
    """Return the lines about layers that no engine holds."""
    unheld = entry_status.list_unheld(rows)
    if not unheld:
        return []
    columns = ("service", "layers", "seconds", "can_hold", "of", "needed")
    shown = format_table(unheld, columns)
    return ["", "layers that no engine holds:", shown]


def _load_exchange_lines(rows: list[dict[str, Data]]) -> list[str]:
    """Return the lines about what entries know of each other's load."""
    states = entry_status.list_load_exchange(rows)
    if not states:
        return []
    current = sum(state["others' load"] == "current" for state in states)
    # Those that are not current are what an operator looks for.
    states.sort(key=lambda state: state["others' load"] == "current")
    shown = states[: entry_status.MAX_SHOWN_ROWS]
    return [
        "",
        f"{current} of {len(states)} entries know the load of the others:",
        format_table(shown, tuple(shown[0])),
    ]


def _backpressure_lines(rows: list[dict[str, Data]]) -> list[str]:
    """Return the lines about the backpressure of instances."""
    sums = entry_status.sum_backpressure(rows)
    if not sums:
        return []
    needs = entry_status.list_backpressure(rows)
    columns = ("upstream", "need", "seconds", "per_second", "used", "entry")
    shown = needs[: entry_status.MAX_SHOWN_ROWS]
    lines = [
        "",
        "backpressure of instances:",
        format_table(sums, tuple(sums[0])),
    ]
    lines += ["", format_table(shown, columns)]
    if len(needs) > len(shown):
        lines.append(f"and {len(needs) - len(shown)} more; see --json")
    return lines


def _status_row(instance_reply: operators.InstanceReply) -> dict[str, Data]:
    if not isinstance(instance_reply.reply, questions.Status):
        reason = (
            instance_reply.error.message
            if instance_reply.error
            else "no status in its reply"
        )
        return {
            "instance": instance_reply.name,
            "state": "lost",
            "error": reason,
        }
    status: dict[str, Data] = json.loads(instance_reply.reply.text)
    status["state"] = "leaving" if status["is_leaving"] else "up"
    return status


async def show_upstreams(operator: operators.OperatorClient) -> Result:
    """Show the upstreams that the first reachable entry knows."""
    for instance_reply in await operator.ask_all(questions.ReadStatus("")):
        if isinstance(instance_reply.reply, questions.Status):
            status = json.loads(instance_reply.reply.text)
            if "sidecars" in status:
                rows = status["sidecars"]
                for row in rows:
                    row["serves"] = ", ".join(row["offers"] + row["services"])
                columns = (
                    "name",
                    "availability_zone",
                    "state",
                    "serves",
                    "running",
                    "step_ms",
                )
                return Result(rows, format_table(rows, columns))
    raise errors.CrowdeckError(
        errors.Code.LINK_LOST,
        "no entry that could be reached listed its upstreams; fleet entries "
        "are not asked, see 'crowdeck placement'",
    )


async def show_trace(operator: operators.OperatorClient, trace: str) -> Result:
    """Show the spans of one trace, from every instance."""
    spans: list[dict[str, Data]] = []
    for instance_reply in await operator.ask_all(questions.ReadSpans(trace)):
        if isinstance(instance_reply.reply, questions.Spans):
            spans.extend(
                json.loads(span) for span in instance_reply.reply.spans
            )
    spans.sort(key=lambda span: int(span["start_ns"]))
    if not spans:
        return Result([], f"no spans found for trace {trace}", EXIT_FAILED)
    started = int(spans[0]["start_ns"])
    lines = [
        f"{(int(span['start_ns']) - started) / 1e6:10.3f} ms  "
        f"{span['seconds'] * 1000:10.3f} ms  "
        f"{span['instance']}  {span['name']}  "
        + " ".join(
            f"{name}={value}" for name, value in span["attributes"].items()
        )
        for span in spans
    ]
    return Result(spans, "\n".join(lines))


async def drain(
    operator: operators.OperatorClient,
    name: str,
    limit_seconds: float,
    wait_until_idle: bool,
) -> Result:
    """Begin a planned stop of an instance; optionally wait until it is idle.

    :param limit_seconds: time limit of the drain and, separately, of the wait
        until it is idle.
    """
    await operator.ask(name, questions.Drain(limit_seconds))
    if not wait_until_idle:
        return Result({"instance": name}, f"{name} is draining")
    running = -1
    with anyio.move_on_after(limit_seconds):
        running = await _wait_idle(operator, name)
    if running == 0:
        return Result({"instance": name, "running": 0}, f"{name} is idle")
    return Result(
        {"instance": name, "running": running},
        f"{name} still runs requests after {limit_seconds:g} s",
        EXIT_FAILED,
    )


async def _wait_idle(operator: operators.OperatorClient, name: str) -> int:
    while True:
        try:
            reply = await operator.ask(name, questions.ReadStatus(""))
        except errors.LinkLost:
            # A drained instance exits once it is idle.
            return 0
        assert isinstance(reply, questions.Status)
        if json.loads(reply.text)["running"] == 0:
            return 0
        await anyio.sleep(DRAIN_POLL_SECONDS)


def _open_editor(operator: operators.OperatorClient) -> editors.SettingsEditor:
    return editors.SettingsEditor(operator.store)


async def get_setting(
    operator: operators.OperatorClient,
    scope: trees.SettingsScope,
    option: str,
    show_source: bool,
) -> Result:
    """Show an effective value, or the whole tree."""
    revision = await _open_editor(operator).read()
    if not option:
        return Result(attrs.asdict(revision), revision.text.rstrip("\n"))
    tree = trees.parse(revision.text, revision.generation)
    found = tree.effective(scope, option)
    text = f"{found.value}"
    if show_source:
        text += f"    from [{found.section}], generation {tree.generation}"
    return Result({"option": option, **attrs.asdict(found)}, text)


async def set_setting(
    operator: operators.OperatorClient,
    scope: trees.SettingsScope,
    option: str,
    value: str | None,
) -> Result:
    """Override a value in a scope, or unset it there if ``None``."""
    editor = _open_editor(operator)
    current = await editor.read()
    text = trees.edit(current.text, scope.section, option, value)
    return await _apply(editor, current, text)


async def show_diff(
    operator: operators.OperatorClient, path: pathlib.Path
) -> Result:
    """Show what applying a file would change."""
    current = await _open_editor(operator).read()
    text = _read_text(path)
    trees.parse(text, current.generation + 1)
    difference = editors.show_difference(current.text, text)
    return Result({"difference": difference}, difference or "no changes")


async def apply_file(
    operator: operators.OperatorClient, path: pathlib.Path, change: str
) -> Result:
    """Make a file the next generation of the settings."""
    editor = _open_editor(operator)
    return await _apply(editor, await editor.read(), _read_text(path), change)


async def _apply(
    editor: editors.SettingsEditor,
    current: editors.SettingsRevision,
    text: str,
    change: str = "",
) -> Result:
    if change and current.change == change:
        return _applied_result(current, "this change was already applied")
    if text == current.text:
        return _applied_result(current, "no changes")
    difference = editors.show_difference(current.text, text)
    revision = await editor.apply(current, text, change)
    return _applied_result(revision, difference)


def _applied_result(
    revision: editors.SettingsRevision, summary: str
) -> Result:
    return Result(
        {"generation": revision.generation, "change": revision.change},
        f"{summary}\ngeneration {revision.generation} is stored",
    )


async def show_history(
    operator: operators.OperatorClient, limit: int
) -> Result:
    """Show the stored generations, newest first, with the current one."""
    revisions = await _open_editor(operator).history(limit)
    older = [*revisions[1:], editors.EMPTY]
    lines = []
    for revision, previous in zip(revisions, older, strict=False):
        difference = editors.show_difference(previous.text, revision.text)
        lines.append(f"generation {revision.generation}  {revision.change}")
        lines.extend(f"    {line}" for line in difference.splitlines()[2:])
    return Result(
        [attrs.asdict(revision) for revision in revisions], "\n".join(lines)
    )


async def roll_back(
    operator: operators.OperatorClient, generation: int
) -> Result:
    """Make an earlier generation's text the next generation."""
    editor = _open_editor(operator)
    text = await editor.text_of(generation)
    return await _apply(editor, await editor.read(), text)


def check_file(path: pathlib.Path) -> Result:
    """Check a daemon's configuration or a settings tree.

    A file whose text contains the header of the daemon section is checked as
    a configuration.
    """
    text = _read_text(path)
    if f"[{configs.DAEMON}]" in text:
        checks.check(path)
        kind = "configuration"
    else:
        trees.parse(text, 1)
        kind = "settings tree"
    return Result({"kind": kind}, f"{path}: valid {kind}")


def _read_text(path: pathlib.Path) -> str:
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.ConfigError(f"{path}: {error}") from None


def format_table(rows: list[dict[str, Data]], columns: tuple[str, ...]) -> str:
    """Return rows as lines of aligned columns under a header line."""
    cells = [[str(row.get(name, "-")) for name in columns] for row in rows]
    widths = [
        max(len(name), *(len(line[column]) for line in cells), 0)
        for column, name in enumerate(columns)
    ]
    lines = [columns, *cells]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
