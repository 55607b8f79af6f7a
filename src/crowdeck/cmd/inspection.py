# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Commands that inspect logs, the store and the state of instances."""

import contextlib
import itertools
import pathlib
import sys
import typing

import attrs

from crowdeck import chain
from crowdeck.cmd import commands
from crowdeck.cmd import operator as operators
from crowdeck import errors
from crowdeck.observe import explain as explaining
from crowdeck.observe import losses
from crowdeck.observe import reroutes
from crowdeck.platform import config as platform_config
from crowdeck.platform import names
from crowdeck.platform import upstreams as platform_upstreams
from crowdeck import route as routes
from crowdeck.routing import bound as bounds
from crowdeck.state import objects as stores


def summarise_losses(
    files: list[pathlib.Path], objectives: losses.Objectives, interval: float
) -> commands.Result:
    """Summarise from log files which requests were lost, and why.

    :param interval: length of the reported intervals in seconds.
    """
    with _open_logs(files, with_file_names=True) as texts:
        report = losses.build_report(texts, objectives, interval)
    lines = [f"{report.requests} requests ended"]
    lines += _format_counts(report.causes, report.requests)
    if report.turned_away:
        lines += ["", "attempts that failed:"]
        lines += _format_counts(
            report.turned_away, sum(report.turned_away.values())
        )
    if report.lost_by_source:
        lines += ["", "lost, by entry:"]
        total = sum(report.lost_by_source.values())
        lines += _format_counts(report.lost_by_source, total)
    if report.reroutes.streams:
        lines += ["", *_reroute_lines(report.reroutes)]
    for span in report.spans:
        not_in_time = {
            cause: count
            for cause, count in span.causes.items()
            if cause != losses.IN_TIME
        }
        if not_in_time:
            ended = sum(span.causes.values())
            lines += [
                "",
                f"interval from {span.since:g} s: {ended} requests ended; "
                "not in time:",
            ]
            lines += _format_counts(not_in_time, ended)
    return commands.Result(attrs.asdict(report), "\n".join(lines))


def _reroute_lines(reroute_summary: reroutes.Reroutes) -> list[str]:
    intervals = (
        (
            "engine identified as the cause (all streams)",
            reroute_summary.noticed,
        ),
        ("new path set up", reroute_summary.agreed),
        ("next event", reroute_summary.pause),
    )
    return [
        f"{reroute_summary.streams} streams moved to another path, "
        f"{reroute_summary.in_time} in time; ms after the last event:",
        *(
            f"{1000 * percentiles.median:7.0f} (90th percentile: "
            f"{1000 * percentiles.nine_in_ten:.0f})  {name}"
            for name, percentiles in intervals
        ),
    ]


def _format_counts(counts: dict[str, int], total: int) -> list[str]:
    return [
        f"{count:7d} {count / max(1, total):6.1%}  {name}"
        for name, count in counts.items()
    ]


@contextlib.contextmanager
def _open_logs(
    files: list[pathlib.Path], *, with_file_names: bool = False
) -> typing.Iterator[typing.Iterable[str]]:
    """Open log files one after the other, or standard input.

    :param with_file_names: prefix lines that name no process with the name
        of their file.
    """
    with contextlib.ExitStack() as stack:
        texts: list[typing.Iterable[str]] = []
        for path in files:
            text = stack.enter_context(_open_log(path))
            texts.append(
                _prefix_file_name(path, text) if with_file_names else text
            )
        yield itertools.chain.from_iterable(texts or [sys.stdin])


def _prefix_file_name(
    path: pathlib.Path, texts: typing.Iterable[str]
) -> typing.Iterator[str]:
    # The log parser reads JSON from the first brace of a line on, so the name
    # must have no braces; its last word would be taken as the process name.
    name = "-".join(path.name.replace("{", "").replace("}", "").split())
    for text in texts:
        yield f"{name} {text}" if text.startswith("{") else text


def explain_request(
    request: str, files: list[pathlib.Path], max_pause_seconds: float
) -> commands.Result:
    """Explain the outcome of one request from its log lines.

    The exit code is zero if it was answered without a long pause or a cause
    was found.

    :param request: id of the request.
    :param max_pause_seconds: longest pause for which a stream is in time.
    """
    with _open_logs(files) as texts:
        explanation = explaining.explain(request, texts, max_pause_seconds)
    lines = [str(line) for line in explanation.lines]
    if explanation.context:
        lines += ["", "state changes of the same processes at that time:"]
        lines += [f"  {line}" for line in explanation.context]
    if not explanation.lines:
        conclusion = "the logs contain no lines of this request"
    elif not explanation.has_failed:
        conclusion = "it was answered, without a long pause"
    else:
        conclusion = explanation.cause or "not found in the logs"
    if explanation.held_back:
        lines += [
            "",
            "unavailable because of a rate limit, a backoff or a shutdown: "
            f"{', '.join(explanation.held_back)}",
        ]
    lines += ["", f"cause: {conclusion}"]
    is_explained = bool(explanation.lines) and bool(
        explanation.cause or not explanation.has_failed
    )
    data: commands.Data = {
        "request": request,
        "cause": explanation.cause,
        "has_failed": explanation.has_failed,
        "lines": [str(line) for line in explanation.lines],
        "context": [str(line) for line in explanation.context],
        "held_back": list(explanation.held_back),
    }
    return commands.Result(
        data,
        "\n".join(lines),
        commands.EXIT_OK if is_explained else commands.EXIT_FAILED,
    )


def _open_log(path: pathlib.Path) -> typing.TextIO:
    try:
        return path.open(errors="replace")
    except OSError as error:
        raise errors.ConfigError(f"{path}: {error}") from None


async def show_status(operator: operators.OperatorClient) -> commands.Result:
    """Show the state of every instance and the store's epoch."""
    status = await commands.show_status(operator)
    return add_epoch(status, operator.store.epoch)


def add_epoch(status: commands.Result, epoch: int | None) -> commands.Result:
    """Add the store's epoch, which counts its restores from a backup.

    :param epoch: the epoch in the store's latest reply to this command. An
        instance that has not noticed a restore may report an earlier epoch.
    """
    data = [{**row, "store_epoch": epoch} for row in status.data]
    label = "unknown" if epoch is None else str(epoch)
    text = f"{status.text}\n\nepoch of the store: {label}"
    return attrs.evolve(status, data=data, text=text)


@attrs.frozen
class _Model:
    """A model service and its engines, as listed in the store."""

    service: routes.Service
    profile: chain.EngineProfile
    engines: list[chain.Upstream]

    def zones(self) -> list[str]:
        return sorted({engine.availability_zone for engine in self.engines})

    def engines_in(self, zone: str) -> list[chain.Upstream]:
        return [
            engine
            for engine in self.engines
            if engine.availability_zone == zone
        ]


async def _list_models(store: stores.ObjectStore) -> list[_Model]:
    """Return every service that has an engine profile."""
    listing = await store.list(names.UPSTREAM_KIND)
    config = await store.get(names.CONFIG_KIND, names.CONFIG_NAME)
    if config is None:
        raise errors.CrowdeckError(
            errors.Code.NOT_FOUND, "the store has no config"
        )
    found = [platform_upstreams.decode(stored) for stored in listing.objects]
    return [
        _Model(
            service,
            service.profile,
            [engine for engine in found if engine.service == service.name],
        )
        for service in platform_config.decode(config.value).services
        if service.profile is not None
    ]


async def show_placement(store: stores.ObjectStore) -> commands.Result:
    """Show which engines hold which layers, by service and zone."""
    lines: list[str] = []
    data: list[commands.Data] = []
    for model in await _list_models(store):
        table_lines, zones = _describe_placement(model)
        lines += table_lines
        data += zones
    return commands.Result(data, "\n".join(lines))


async def show_bound(store: stores.ObjectStore) -> commands.Result:
    """Show the maximum throughput of engines, by service and zone."""
    rows: list[dict[str, commands.Data]] = []
    for model in await _list_models(store):
        available = [
            engine for engine in model.engines if not engine.is_leaving
        ]
        rows.append(_bound_row(model, "all", available))
        for zone in model.zones():
            in_zone = [
                engine
                for engine in model.engines_in(zone)
                if not engine.is_leaving
            ]
            rows.append(_bound_row(model, zone, in_zone))
    columns = ("service", "zone", "at once", "a second", "binds", "layers")
    return commands.Result(
        typing.cast(commands.Data, rows), commands.format_table(rows, columns)
    )


def _bound_row(
    model: _Model, zone: str, engines: list[chain.Upstream]
) -> dict[str, commands.Data]:
    capacity = bounds.compute_bound(engines, model.profile)
    return {
        "service": model.service.name,
        "zone": zone,
        "at once": round(capacity.concurrent_requests, 1),
        "a second": round(capacity.per_second, 1),
        "answer_seconds": round(capacity.answer_seconds, 3),
        "binds": str(capacity.limiting_resource),
        "layers": f"{capacity.bottleneck.first}-{capacity.bottleneck.end}",
    }


def _describe_placement(
    model: _Model,
) -> tuple[list[str], list[commands.Data]]:
    profile = model.profile
    lines = [f"{model.service.name}: {profile.layer_count} layers"]
    data: list[commands.Data] = []
    for zone in model.zones():
        engines = model.engines_in(zone)
        counts = chain.coverage(engines, profile.layer_count)
        missing = counts.count(0)
        lines.append(
            f"  {zone}  copies of each layer (9: 9 or more), "
            f"{missing} missing:"
        )
        lines.append("    " + "".join(str(min(9, count)) for count in counts))
        rows: list[dict[str, commands.Data]] = [
            _engine_row(engine, profile)
            for engine in sorted(engines, key=_by_first_layer)
        ]
        table = commands.format_table(
            rows, ("engine", "card", "layers", "room", "state")
        )
        lines += [f"    {line}" for line in table.splitlines()]
        data.append({"zone": zone, "missing": missing, "engines": rows})
    return lines, data


def _engine_row(
    engine: chain.Upstream, profile: chain.EngineProfile
) -> dict[str, commands.Data]:
    held = engine.layers
    held_layer_count = held.end - held.first if held else 0
    token_capacity = profile.token_capacity(engine.card, held_layer_count)
    return {
        "engine": str(engine.address),
        "card": engine.card,
        "layers": f"{held.first}-{held.end}" if held else "-",
        "room": int(token_capacity)
        if held_layer_count and token_capacity != float("inf")
        else "-",
        "state": "leaving" if engine.is_leaving else "ready",
    }


def _by_first_layer(engine: chain.Upstream) -> tuple[int, str]:
    return (engine.layers.first if engine.layers else -1, engine.name)
