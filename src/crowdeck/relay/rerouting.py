# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Leading streams around an engine that failed."""

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


Verify = typing.Callable[[chain.Upstream], None]


class Rerouter:
    """Changes the paths of one entry's streams.

    :param streams: those in progress; whoever owns the set adds to it.
    :param prober: asks engines whether they live.
    :param verify: has an engine that said nothing looked into.
    """

    def __init__(
        self,
        context: contexts.RelayContext,
        streams: set[live.LiveStream],
        prober: probes.Prober,
        verify: Verify,
    ) -> None:
        self._context = context
        self._streams = streams
        self._prober = prober
        self._verify = verify
        self._repathing: set[live.LiveStream] = set()

    async def reroute_around_all(
        self, culprits: typing.Iterable[chain.Upstream]
    ) -> None:
        """Change the path of every stream that passes one of some engines.

        Those that failed together are left together: a path that leaves
        one of them and keeps another is refused, after a tenth of a second.
        """
        async with anyio.create_task_group() as tasks:
            for culprit in culprits:
                tasks.start_soon(self.reroute_around, culprit)

    async def reroute_around(self, culprit: chain.Upstream) -> None:
        """Change the path of every stream that passes a failed engine."""
        async with anyio.create_task_group() as tasks:
            for stream in tuple(self._streams):
                path = stream.path
                if path is None or not path.passes(culprit.name):
                    continue
                if stream.abandon_reason or stream in self._repathing:
                    continue
                if path.head.name == culprit.name:
                    if stream.may_resume:
                        reason = f"first engine {culprit.address} is silent"
                        stream.abandon(reason)
                    # Otherwise there is nothing to gain by giving it up:
                    # it may yet go on, or its connection breaks.
                    continue
                self._repathing.add(stream)
                tasks.start_soon(self._reroute, stream, path, culprit)

    async def _reroute(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        culprit: chain.Upstream,
    ) -> None:
        try:
            await self._repath(stream, path, culprit)
        finally:
            self._repathing.discard(stream)

    async def _repath(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        culprit: chain.Upstream,
    ) -> None:
        failed = {one.name for one in self._context.registry.avoided()}
        refused = {culprit.name}
        refused |= {hop.upstream.name for hop in path.hops} & failed
        while True:
            other = self._find_path(stream, path, refused)
            if self._should_restart(stream, path, other):
                self._log(stream, path, None, "goes on elsewhere")
                stream.abandon(f"{culprit.address} is silent")
                return
            if other is None:
                self._log(stream, path, None, "no other engine has room")
                return
            silent = await self._find_silent(path, other)
            if stream.path is not path:
                return
            if silent:
                refused |= silent
                continue
            if not self._context.registry.may_probe(path.head.name):
                self._restart_elsewhere(stream, path)
                return
            outcome = await self._context.client.repath(
                path.head, stream.request.id, other
            )
            if stream.path is not path:
                return
            self._log(stream, path, other, _describe(outcome))
            if outcome.is_done:
                stream.switch_path(other)
                counters.COUNTERS.add("relay.repathed")
                return
            blamed = self._context.registry.find_by_address(outcome.culprit)
            if not outcome.is_known:
                return
            if blamed is None or blamed.name in refused:
                self._restart_elsewhere(stream, path)
                return
            refused.add(blamed.name)

    def _restart_elsewhere(
        self, stream: live.LiveStream, path: chain.ChainPath
    ) -> None:
        """Begin a stream anew that no other path was allowed for.

        Its first engine names nobody, or again one that was left already:
        asking it once more gets the same answer. Streams were led around
        five times a second that way and paused for 1.0 to 1.4 s.
        """
        if not stream.may_resume:
            return
        if not self._context.may_restart_stream(stream.service.name):
            return
        self._log(stream, path, None, "goes on elsewhere")
        stream.abandon(f"{path.head.address} allows no other path")

    async def _find_silent(
        self, path: chain.ChainPath, other: chain.ChainPath
    ) -> set[str]:
        """Return the new parts of a path that do not answer.

        Engines are lost together, and whoever takes a lost one's place may
        be lost too without anybody's having noticed. A sound one answers
        within 3 ms, a lost one is known in 40; a path with a lost part is
        refused by its first engine after 70 to 100 ms. On a day with
        losses of five, 418 changes of path met 281 such refusals, and half
        of the streams paused for over 330 ms where 300 are in time.
        """
        kept = {hop.upstream.name for hop in path.hops}
        answers: list[probes.Probe] = []

        async def ask(upstream: chain.Upstream) -> None:
            answers.append(await self._prober.ask(upstream))

        async with anyio.create_task_group() as tasks:
            for hop in other.hops:
                if hop.upstream.name not in kept:
                    tasks.start_soon(ask, hop.upstream)
        silent = [one.upstream for one in answers if one.is_silent]
        for upstream in silent:
            self._verify(upstream)
        return {one.name for one in silent}

    def _should_restart(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        other: chain.ChainPath | None,
    ) -> bool:
        """Whether a stream had better go on from its last event elsewhere.

        A detour through another zone has all tokens so far cross between
        zones. With tens of streams that fills the pipe which all share
        for seconds, and stops the streams that cross it as well. Read
        again in another zone from the beginning, nothing crosses.
        """
        if not stream.may_resume:
            return False
        if not self._context.may_restart_stream(stream.service.name):
            return False
        return other is None or other.crossings > path.crossings

    def _find_path(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        refused: set[str],
    ) -> chain.ChainPath | None:
        usable = [
            one
            for one in self._context.registry.usable(stream.service.name)
            if one.name not in refused
        ]
        wanted = hops.PathRequest(
            stream.profile,
            stream.tokens,
            self._context.zone,
            stream.objective,
        )
        chosen = self._context.subset.pick(usable)
        return self._context.planner.detour(chosen, wanted, path, refused)

    def _log(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        other: chain.ChainPath | None,
        outcome: str,
    ) -> None:
        logs.decision(
            "path_changed",
            stream.request.id,
            before=str(path),
            path=str(other) if other else "",
            outcome=outcome,
            silent=round(anyio.current_time() - stream.progress_at, 3),
        )


def _describe(outcome: interfaces.RepathOutcome) -> str:
    if outcome.is_done:
        return "done"
    if not outcome.is_known:
        return "unknown to its first engine"
    return f"refused because of {outcome.culprit or 'itself'}"
