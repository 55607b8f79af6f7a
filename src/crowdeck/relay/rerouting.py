# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Rerouting of streams around engines that failed."""

import typing

import anyio
import anyio.abc

from crowdeck import chain
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.relay import context as contexts
from crowdeck.relay import interfaces
from crowdeck.relay import live
from crowdeck.relay import probes
from crowdeck.routing import hops

VerifyCallback = typing.Callable[[chain.Upstream], None]


class Rerouter:
    """Changes the paths of an entry's streams.

    :param streams: streams in progress; their owner updates the collection.
    :param prober: probes the engines of a new path.
    :param verify: called with each engine that did not answer a probe.
    """

    def __init__(
        self,
        context: contexts.RelayContext,
        streams: typing.Collection[live.LiveStream],
        prober: probes.Prober,
        verify: VerifyCallback,
    ) -> None:
        self._context = context
        self._streams = streams
        self._prober = prober
        self._verify = verify
        self._rerouting: set[live.LiveStream] = set()

    async def reroute_around_all(
        self, culprits: typing.Iterable[chain.Upstream]
    ) -> None:
        """Reroute every stream that passes one of the engines.

        The caller has marked all of them as avoided, so that no new path
        passes any of them. A path that still passes one would be refused,
        which takes a tenth of a second.
        """
        async with anyio.create_task_group() as tasks:
            for culprit in culprits:
                tasks.start_soon(self.reroute_around, culprit)

    async def reroute_around(self, culprit: chain.Upstream) -> None:
        """Reroute every stream that passes a failed engine."""
        async with anyio.create_task_group() as tasks:
            for stream in tuple(self._streams):
                path = stream.path
                if path is None or not path.passes(culprit.name):
                    continue
                if stream.abandon_reason or stream in self._rerouting:
                    continue
                if path.head.name == culprit.name:
                    if stream.may_resume:
                        reason = f"first engine {culprit.address} failed"
                        stream.abandon(reason)
                    # Any other stream would be lost if it were abandoned,
                    # while the engine may still recover.
                    continue
                self._rerouting.add(stream)
                tasks.start_soon(self._reroute_stream, stream, path, culprit)

    async def _reroute_stream(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        culprit: chain.Upstream,
    ) -> None:
        failed = {engine.name for engine in self._context.registry.failed()}
        excluded = {culprit.name}
        excluded |= {hop.upstream.name for hop in path.hops} & failed
        try:
            if stream.urgency.is_ranked:
                await self._try_again(stream, path, culprit, excluded)
            else:
                await self._try_new_paths(stream, path, culprit, excluded)
        finally:
            self._rerouting.discard(stream)

    async def _try_again(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        culprit: chain.Upstream,
        excluded: set[str],
    ) -> None:
        """Try new paths unless the same search failed shortly before."""
        parts = self._context.ranked_parts()
        searches = parts.failed_searches
        search = parts.path_search(stream, path, excluded)
        if searches.is_futile(stream, search, anyio.current_time()):
            counters.COUNTERS.add("relay.reroutes_saved")
            return
        await self._try_new_paths(stream, path, culprit, excluded)
        if stream.path is path and not stream.abandon_reason:
            searches.note(stream, search, anyio.current_time())

    async def _try_new_paths(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        culprit: chain.Upstream,
        excluded: set[str],
    ) -> None:
        attempt = stream.current_attempt
        while True:
            new_path = self._find_path(stream, path, excluded)
            if self._should_restart(stream, path, new_path):
                self._log(
                    stream, path, None, "restarts at another first engine"
                )
                stream.abandon(f"{culprit.address} failed")
                return
            if new_path is None:
                self._log(stream, path, None, "no other engine has capacity")
                return
            silent = await self._find_silent(path, new_path)
            if stream.path is not path:
                return
            if silent:
                excluded |= silent
                continue
            # An engine that is backing off may not be asked for another path.
            if not self._context.registry.claim_probe(path.head.name):
                self._restart_elsewhere(stream, path)
                return
            outcome = await self._context.client.repath(
                path.head, stream.request.id, new_path
            )
            if stream.path is not path:
                if outcome.is_done and attempt is not None:
                    # It was set aside meanwhile, and may go on.
                    attempt.path = new_path
                return
            self._log(stream, path, new_path, _describe(outcome))
            if outcome.is_done:
                stream.switch_path(new_path)
                counters.COUNTERS.add("relay.repathed")
                return
            new_culprit = self._context.registry.find_by_address(
                outcome.culprit
            )
            if not outcome.is_known:
                return
            if new_culprit is None or new_culprit.name in excluded:
                self._restart_elsewhere(stream, path)
                return
            excluded.add(new_culprit.name)

    def _restart_elsewhere(
        self, stream: live.LiveStream, path: chain.ChainPath
    ) -> None:
        """Restart a stream at another first engine if that is allowed.

        Called when its own first engine may not be asked for another path
        or keeps refusing, so that the stream would stay paused. Does nothing
        if the stream may not resume or the retry budget is low. Such streams
        would otherwise be rerouted five times a second and pause for 1.0 to
        1.4 s.
        """
        if not stream.may_resume:
            return
        if not self._context.may_restart_stream(stream.service.name):
            return
        self._log(stream, path, None, "restarts at another first engine")
        stream.abandon(f"{path.head.address} cannot change the path")

    async def _find_silent(
        self, path: chain.ChainPath, new_path: chain.ChainPath
    ) -> set[str]:
        """Return the names of a path's new engines that do not answer.

        Engines often fail together, so a replacement may be lost as well.
        Probing it takes less time than a refusal by the first engine: a
        healthy engine answers within 3 ms and a lost one is known after
        40 ms, while a refusal takes 70 to 100 ms.
        """
        current_names = {hop.upstream.name for hop in path.hops}
        answers: list[probes.Probe] = []

        async def ask(upstream: chain.Upstream) -> None:
            answers.append(await self._prober.probe(upstream))

        async with anyio.create_task_group() as tasks:
            for hop in new_path.hops:
                if hop.upstream.name not in current_names:
                    tasks.start_soon(ask, hop.upstream)
        silent = [
            answer.upstream for answer in answers if answer.is_unreachable
        ]
        for upstream in silent:
            self._verify(upstream)
        return {engine.name for engine in silent}

    def _should_restart(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        new_path: chain.ChainPath | None,
    ) -> bool:
        """Whether a stream should resume at another first engine instead.

        A path through another zone sends the state of all tokens so far
        across the link between zones, which many streams would saturate.
        A stream that restarts in the other zone sends nothing across.
        """
        if not stream.may_resume:
            return False
        if not self._context.may_restart_stream(stream.service.name):
            return False
        return (
            new_path is None or new_path.zone_crossings > path.zone_crossings
        )

    def _find_path(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        excluded: set[str],
    ) -> chain.ChainPath | None:
        usable = [
            engine
            for engine in self._context.registry.usable(stream.service.name)
            if engine.name not in excluded
        ]
        path_request = hops.PathRequest(
            stream.profile,
            stream.tokens,
            self._context.zone,
            stream.objective_seconds,
        )
        subset = self._context.subset.pick(usable)
        return self._context.planner.replace_failed_hops(
            subset, path_request, path, excluded
        )

    def _log(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        new_path: chain.ChainPath | None,
        outcome: str,
    ) -> None:
        logs.decision(
            "path_changed",
            stream.request.id,
            before=str(path),
            path=str(new_path) if new_path else "",
            outcome=outcome,
            silent=round(anyio.current_time() - stream.progress_at, 3),
        )


def _describe(outcome: interfaces.RepathOutcome) -> str:
    if outcome.is_done:
        return "done"
    if not outcome.is_known:
        return "its first engine does not know the request"
    return f"refused because of {outcome.culprit or 'the first engine'}"
