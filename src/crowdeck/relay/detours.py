# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Leading streams around an engine that failed."""

import anyio
import anyio.abc

from crowdeck import chain
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.relay import context as contexts
from crowdeck.relay import live
from crowdeck.relay import reach
from crowdeck.routing import hops


class Detours:
    """Changes the paths of one entry's streams.

    :param streams: those in progress; whoever owns the set adds to it.
    """

    def __init__(
        self, context: contexts.RelayContext, streams: set[live.LiveStream]
    ) -> None:
        self._context = context
        self._streams = streams
        self._repathing: set[live.LiveStream] = set()

    async def lead_around(self, culprit: chain.Upstream) -> None:
        """Change the path of every stream that passes a failed engine."""
        async with anyio.create_task_group() as tasks:
            for stream in tuple(self._streams):
                path = stream.path
                if path is None or not path.passes(culprit.name):
                    continue
                if stream.abandoned or stream in self._repathing:
                    continue
                if path.head.name == culprit.name:
                    if stream.may_resume:
                        reason = f"first engine {culprit.address} is silent"
                        stream.abandon(reason)
                    # Otherwise there is nothing to gain by giving it up:
                    # it may yet go on, or its connection breaks.
                    continue
                self._repathing.add(stream)
                tasks.start_soon(self._lead, stream, path, culprit)

    async def _lead(
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
        refused: set[str] = {culprit.name}
        while True:
            other = self._around(stream, path, refused)
            if self._is_better_begun_anew(stream, path, other):
                self._log(stream, path, None, "goes on elsewhere")
                stream.abandon(f"{culprit.address} is silent")
                return
            if other is None:
                self._log(stream, path, None, "no other engine has room")
                return
            outcome = await self._context.client.repath(
                path.head, stream.request.id, other
            )
            if stream.path is not path:
                return
            self._log(stream, path, other, _words(outcome))
            if outcome.is_done:
                stream.take_path(other)
                counters.COUNTERS.add("relay.repathed")
                return
            named = self._context.book.at(outcome.culprit)
            if not outcome.is_known or named is None:
                return
            if named.name in refused:
                return
            refused.add(named.name)

    def _is_better_begun_anew(
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
        if not self._context.may_begin_anew(stream.service.name):
            return False
        return other is None or other.crossings > path.crossings

    def _around(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        refused: set[str],
    ) -> chain.ChainPath | None:
        usable = [
            one
            for one in self._context.book.usable(stream.service.name)
            if one.name not in refused
        ]
        wanted = hops.Wanted(
            stream.profile,
            stream.tokens,
            self._context.zone,
            stream.objective,
        )
        return self._context.planner.detour(usable, wanted, path, refused)

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
            silent=round(anyio.current_time() - stream.moved_at, 3),
        )


def _words(outcome: reach.RepathOutcome) -> str:
    if outcome.is_done:
        return "done"
    if not outcome.is_known:
        return "unknown to its first engine"
    return f"refused because of {outcome.culprit or 'itself'}"
