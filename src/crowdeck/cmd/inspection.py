# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Commands that look at logs and at the store, and ask no instance."""

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


def account_losses(
    files: list[pathlib.Path], aims: losses.Objectives, span: float
) -> commands.Result:
    """Tell what was not served in time in log files, and why."""
    with _open_logs(files, are_named=True) as texts:
        found = losses.account(texts, aims, span)
    lines = [f"{found.requests} requests ended"]
    lines += _table(found.causes, found.requests)
    if found.turned_away:
        lines += ["", "attempts that failed:"]
        lines += _table(found.turned_away, sum(found.turned_away.values()))
    if found.lost_by_source:
        lines += ["", "lost, by entry:"]
        whole = sum(found.lost_by_source.values())
        lines += _table(found.lost_by_source, whole)
    if found.reroutes.streams:
        lines += ["", *_reroute_lines(found.reroutes)]
    for one in found.spans:
        lost = {k: n for k, n in one.causes.items() if k != losses.IN_TIME}
        if lost:
            ended = sum(one.causes.values())
            lines += ["", f"from second {one.since:g}, {ended} ended:"]
            lines += _table(lost, ended)
    return commands.Result(attrs.asdict(found), "\n".join(lines))


def _reroute_lines(found: reroutes.Reroutes) -> list[str]:
    steps = (
        ("engine found at fault", found.noticed),
        ("new path agreed", found.agreed),
        ("next event", found.pause),
    )
    return [
        f"{found.streams} streams led around an engine, "
        f"{found.in_time} in time; ms after the last event:",
        *(
            f"{1000 * spread.median:7.0f} (nine in ten: "
            f"{1000 * spread.nine_in_ten:.0f})  {name}"
            for name, spread in steps
        ),
    ]


def _table(counts: dict[str, int], whole: int) -> list[str]:
    return [
        f"{count:7d} {count / max(1, whole):6.1%}  {name}"
        for name, count in counts.items()
    ]


@contextlib.contextmanager
def _open_logs(
    files: list[pathlib.Path], *, are_named: bool = False
) -> typing.Iterator[typing.Iterable[str]]:
    """Open log files one after the other, or standard input.

    :param are_named: have lines that name no process begin with the name of
        their file.
    """
    with contextlib.ExitStack() as stack:
        texts: list[typing.Iterable[str]] = []
        for path in files:
            text = stack.enter_context(_open_log(path))
            texts.append(_named(path, text) if are_named else text)
        yield itertools.chain.from_iterable(texts or [sys.stdin])


def _named(
    path: pathlib.Path, texts: typing.Iterable[str]
) -> typing.Iterator[str]:
    # One word without a brace: what follows a brace is taken for the line.
    name = "-".join(path.name.replace("{", "").replace("}", "").split())
    for text in texts:
        yield f"{name} {text}" if text.startswith("{") else text


def explain_request(
    request: str, files: list[pathlib.Path], gap: float
) -> commands.Result:
    """Follow one request through log files, or standard input.

    The exit code tells whether a cause was found, or none was needed.
    """
    with _open_logs(files) as texts:
        found = explaining.explain(request, texts, gap)
    lines = [str(line) for line in found.lines]
    if found.context:
        lines += ["", "believed by then:"]
        lines += [f"  {line}" for line in found.context]
    if not found.lines:
        verdict = "the logs hold nothing of it"
    elif not found.has_failed:
        verdict = "it was answered in time"
    else:
        verdict = found.cause or "the logs do not tell the cause"
    if found.held_back:
        lines += ["", f"in need meanwhile: {', '.join(found.held_back)}"]
    lines += ["", f"cause: {verdict}"]
    is_known = bool(found.lines) and bool(found.cause or not found.has_failed)
    data: commands.Data = {
        "request": request,
        "cause": found.cause,
        "has_failed": found.has_failed,
        "lines": [str(line) for line in found.lines],
        "context": [str(line) for line in found.context],
        "held_back": list(found.held_back),
    }
    return commands.Result(
        data,
        "\n".join(lines),
        commands.EXIT_OK if is_known else commands.EXIT_FAILED,
    )


def _open_log(path: pathlib.Path) -> typing.TextIO:
    try:
        return path.open(errors="replace")
    except OSError as error:
        raise errors.ConfigError(f"{path}: {error}") from None


async def show_status(operator: operators.Operator) -> commands.Result:
    """Show every instance, and the epoch that the store is in."""
    shown = await commands.show_status(operator)
    return add_epoch(shown, operator.store.epoch)


def add_epoch(shown: commands.Result, epoch: int | None) -> commands.Result:
    """Add how often the store came back from a copy, as it counts.

    :param epoch: of the store's latest answer to this command; an instance
        that has not noticed a return yet may be in an earlier one.
    """
    data = [{**row, "store_epoch": epoch} for row in shown.data]
    told = "unknown" if epoch is None else str(epoch)
    text = f"{shown.text}\n\nepoch of the store: {told}"
    return attrs.evolve(shown, data=data, text=text)


@attrs.frozen
class _Model:
    """A service of model engines, as the store lists it."""

    service: routes.Service
    profile: chain.EngineProfile
    engines: list[chain.Upstream]

    def zones(self) -> list[str]:
        return sorted({one.availability_zone for one in self.engines})

    def inside(self, zone: str) -> list[chain.Upstream]:
        return [one for one in self.engines if one.availability_zone == zone]


async def _models(store: stores.ObjectStore) -> list[_Model]:
    """Return every service whose engines hold layers of a model."""
    listing = await store.list(names.UPSTREAM_KIND)
    config = await store.get(names.CONFIG_KIND, names.CONFIG_NAME)
    if config is None:
        raise errors.CrowdeckError(
            errors.Code.NOT_FOUND, "the store holds no config yet"
        )
    found = [platform_upstreams.decode(one) for one in listing.objects]
    return [
        _Model(
            service,
            service.profile,
            [one for one in found if one.service == service.name],
        )
        for service in platform_config.decode(config.value).services
        if service.profile is not None
    ]


async def show_placement(store: stores.ObjectStore) -> commands.Result:
    """Show which engines hold which layers, by service and zone."""
    lines: list[str] = []
    data: list[commands.Data] = []
    for model in await _models(store):
        shown, told = _placement_of(model)
        lines += shown
        data += told
    return commands.Result(data, "\n".join(lines))


async def show_bound(store: stores.ObjectStore) -> commands.Result:
    """Show what engines can serve at most, by service and zone."""
    rows: list[dict[str, commands.Data]] = []
    for model in await _models(store):
        staying = [one for one in model.engines if not one.is_leaving]
        rows.append(_bound_row(model, "all", staying))
        for zone in model.zones():
            inside = [one for one in model.inside(zone) if not one.is_leaving]
            rows.append(_bound_row(model, zone, inside))
    columns = ("service", "zone", "at once", "a second", "binds", "layers")
    return commands.Result(
        typing.cast(commands.Data, rows), commands.table(rows, columns)
    )


def _bound_row(
    model: _Model, zone: str, engines: list[chain.Upstream]
) -> dict[str, commands.Data]:
    most = bounds.bound(engines, model.profile)
    return {
        "service": model.service.name,
        "zone": zone,
        "at once": round(most.concurrent_requests, 1),
        "a second": round(most.per_second, 1),
        "answer_seconds": round(most.answer_seconds, 3),
        "binds": str(most.binding),
        "layers": f"{most.bottleneck.first}-{most.bottleneck.end}",
    }


def _placement_of(model: _Model) -> tuple[list[str], list[commands.Data]]:
    profile = model.profile
    lines = [f"{model.service.name}: {profile.layer_count} layers"]
    data: list[commands.Data] = []
    for zone in model.zones():
        inside = model.inside(zone)
        counts = chain.coverage(inside, profile.layer_count)
        missing = counts.count(0)
        lines.append(f"  {zone}  copies of each layer, {missing} missing:")
        lines.append("    " + "".join(str(min(9, one)) for one in counts))
        rows: list[dict[str, commands.Data]] = [
            _engine_row(one, profile)
            for one in sorted(inside, key=_by_first_layer)
        ]
        table = commands.table(
            rows, ("engine", "card", "layers", "room", "state")
        )
        lines += [f"    {line}" for line in table.splitlines()]
        data.append({"zone": zone, "missing": missing, "engines": rows})
    return lines, data


def _engine_row(
    one: chain.Upstream, profile: chain.EngineProfile
) -> dict[str, commands.Data]:
    held = one.layers
    size = held.end - held.first if held else 0
    token_capacity = profile.token_capacity(one.card, size)
    return {
        "engine": str(one.address),
        "card": one.card,
        "layers": f"{held.first}-{held.end}" if held else "-",
        "room": int(token_capacity)
        if size and token_capacity != float("inf")
        else "-",
        "state": "leaving" if one.is_leaving else "ready",
    }


def _by_first_layer(one: chain.Upstream) -> tuple[int, str]:
    return (one.layers.first if one.layers else -1, one.name)
