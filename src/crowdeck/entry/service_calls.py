# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Calls of plain services through the sidecars beside them.

What a failed call may do next is decided by its verdict alone. When a
reply is lost, the sidecar that the call was sent to is asked to seal it:
either it had not run and now never will, or its answer is collected.
"""

import random

import anyio
import attrs

from crowdeck import contract as contracts
from crowdeck import errors
from crowdeck import header as http_header
from crowdeck.membership import fleet as fleets
from crowdeck.membership import links as links_module
from crowdeck.observe import counters
from crowdeck.routing import retry
from crowdeck.state import claims as claims_module
from crowdeck import timers
from crowdeck import verdict as verdicts
from crowdeck.wire import link
from crowdeck.wire import questions

ASK_TIMEOUT = 1.0
RECONNECT_SECONDS = 0.1
# How long a sidecar that fell silent may take to come back and tell what
# became of a call. Pauses and reconnects are over by then; a caller is
# not kept waiting for a machine that is gone.
FIND_OUT_SECONDS = 5.0
# How long a key's second caller waits for the first one's call to begin
# before it is sealed: the first is then about to send it, or dead.
BEGIN_SECONDS = 0.5
# Sidecars that one key's call may be tried at, in order.
CLAIM_SIDECARS = 2

_MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
_NOT_RUN = verdicts.Verdict.NOT_RUN


@attrs.frozen
class ServiceCall:
    """One caller's call of a plain service.

    :ivar key: the caller's idempotency key, empty for none.
    :ivar deadline: monotonic seconds.
    """

    request: str
    team: str
    service: str
    contract: contracts.Contract
    method: str
    path: str
    headers: tuple[http_header.Header, ...]
    body: bytes
    key: str
    deadline: float
    traceparent: str

    @property
    def fingerprint(self) -> str:
        """Digest of what is asked for, to tell reuse of a key."""
        parts = (self.method, self.path, self.body.hex())
        return claims_module.digest_key(*parts)


@attrs.frozen
class _Target:
    """One run of one sidecar."""

    name: str
    incarnation: int


class ServiceCalls:
    """Makes calls for one entry."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        links: links_module.Links,
        claims: claims_module.ClaimsLedger,
        budgets: retry.RetryBudgets,
        clock: timers.Clock,
        wall_clock: claims_module.WallClock,
        randomness: random.Random,
    ) -> None:
        self._fleet = fleet
        self._links = links
        self._claims = claims
        self._budgets = budgets
        self._clock = clock
        self._wall_clock = wall_clock
        self._random = randomness

    async def call(self, order: ServiceCall) -> questions.Called:
        """Make a call and return its answer.

        :raises CrowdeckError: with a true verdict.
        """
        if order.key:
            return await self._call_keyed(order)
        return await self._call_unkeyed(order)

    async def _call_unkeyed(self, order: ServiceCall) -> questions.Called:
        budget = self._budgets.get(order.team, order.service)
        budget.earn()
        backoff = retry.Backoff(self._random)
        avoid: set[str] = set()
        epoch = 0
        while True:
            try:
                target = self._pick(order.service, avoid)
                return await self._send(order, target, epoch)
            except errors.CrowdeckError as error:
                may_retry = retry.may_retry(
                    error,
                    order.contract.is_repeatable,
                    budget,
                    self._clock,
                    order.deadline,
                )
                if not may_retry:
                    raise
                counters.COUNTERS.add("calls.retried")
                avoid.add(error.culprit)
                epoch += 1
            await anyio.sleep(backoff.next())

    def _pick(self, service: str, avoid: set[str]) -> _Target:
        targets = self._candidates(service)
        fresh = [one for one in targets if one.name not in avoid]
        if not targets:
            raise errors.CrowdeckError(
                errors.Code.NO_PATH,
                f"no live instance serves {service}",
                retry_after=1.0,
            )
        return (fresh or targets)[0]

    def _candidates(self, service: str) -> list[_Target]:
        """Return who serves it, the least loaded first."""
        views = [
            view for view in self._fleet.usable if view.has_service(service)
        ]
        # Random among equals, so that entries do not all pick the same.
        self._random.shuffle(views)
        views.sort(key=lambda view: view.inflight)
        return [_Target(view.name, view.incarnation) for view in views]

    async def _send(
        self, order: ServiceCall, target: _Target, epoch: int
    ) -> questions.Called:
        """Send a call to one run of one sidecar and learn what became."""
        call = self._message(order, target, epoch)
        peer = await self._links.get(target.name)
        self._require_run(peer, target, _NOT_RUN)
        view = self._fleet.find(target.name)
        if view is not None:
            view.own_inflight += 1
        try:
            reply = await self._fleet.ask_with_probes(
                peer, call, max(0.0, call.seconds_left)
            )
        except errors.LinkLost as lost:
            if not lost.was_sent or order.contract.is_repeatable:
                # Nothing is at stake: asking another is the quickest way.
                raise
            reply = await self._find_out(order, target, epoch)
        finally:
            if view is not None:
                view.own_inflight -= 1
        return _called(reply)

    def _message(
        self, order: ServiceCall, target: _Target, epoch: int
    ) -> questions.Call:
        return questions.Call(
            request=order.request,
            epoch=epoch,
            incarnation=target.incarnation,
            team=order.team,
            service=order.service,
            method=order.method,
            path=order.path,
            headers=order.headers,
            body=order.body,
            seconds_left=order.deadline - self._clock.now(),
            traceparent=order.traceparent,
            has_companions=order.contract.has_companions,
        )

    def _require_run(
        self, peer: link.Peer, target: _Target, verdict: verdicts.Verdict
    ) -> None:
        if peer.greeting.incarnation != target.incarnation:
            raise errors.CrowdeckError(
                errors.Code.WRONG_INCARNATION,
                f"{target.name} was replaced",
                verdict=verdict,
                culprit=target.name,
            )

    # A lost reply.

    async def _find_out(
        self, order: ServiceCall, target: _Target, epoch: int
    ) -> questions.Reply:
        """Seal a call whose reply was lost, or collect its answer."""
        counters.COUNTERS.add("calls.reply_lost")
        until = min(order.deadline, self._clock.now() + FIND_OUT_SECONDS)
        while self._clock.now() < until:
            try:
                outcome = await self._seal(order.request, target, epoch)
                if outcome is _NOT_RUN:
                    raise _sealed(target)
                return await self._collect(order, target)
            except errors.LinkLost:
                await anyio.sleep(RECONNECT_SECONDS)
        raise errors.CrowdeckError(
            errors.Code.LINK_LOST,
            f"{target.name} could not be asked whether the call ran",
            verdict=_MAY_HAVE_RUN,
            culprit=target.name,
        )

    async def _seal(
        self, request: str, target: _Target, epoch: int
    ) -> verdicts.Verdict:
        peer = await self._links.get(target.name)
        self._require_run(peer, target, _MAY_HAVE_RUN)
        question = questions.Seal(request, epoch, target.incarnation)
        reply = await peer.ask(question, ASK_TIMEOUT)
        if isinstance(reply, questions.Sealed):
            return reply.outcome
        return _MAY_HAVE_RUN

    async def _collect(
        self, order: ServiceCall, target: _Target
    ) -> questions.Reply:
        peer = await self._links.get(target.name)
        self._require_run(peer, target, _MAY_HAVE_RUN)
        seconds_left = order.deadline - self._clock.now()
        question = questions.Collect(order.request, order.team)
        return await self._fleet.ask_with_probes(
            peer, question, max(0.0, seconds_left)
        )

    # Keyed calls.

    async def _call_keyed(self, order: ServiceCall) -> questions.Called:
        own = self._make_claim(order)
        holder = await self._claims.claim(own)
        while holder.nonce != own.nonce:
            if holder.fingerprint != own.fingerprint:
                raise errors.CrowdeckError(
                    errors.Code.KEY_IN_USE,
                    "this idempotency key was used for another request",
                )
            answer = await self._collect_claimed(order, holder)
            if answer is not None:
                counters.COUNTERS.add("calls.answered_again")
                return answer
            # The holder's call is sealed wherever it could have run, so
            # it never will: ours may take the key over.
            holder = await self._claims.claim(own, replaces=holder.nonce)
        return await self._run_claimed(order, own)

    def _make_claim(self, order: ServiceCall) -> claims_module.Claim:
        targets = self._candidates(order.service)[:CLAIM_SIDECARS]
        if not targets:
            raise errors.CrowdeckError(
                errors.Code.NO_PATH,
                f"no live instance serves {order.service}",
                retry_after=1.0,
            )
        return claims_module.Claim(
            key=claims_module.digest_key(order.team, order.service, order.key),
            fingerprint=order.fingerprint,
            request=order.request,
            nonce=claims_module.new_nonce(),
            sidecars=tuple(one.name for one in targets),
            incarnations=tuple(one.incarnation for one in targets),
            expires=self._wall_clock() + claims_module.EXPIRE_SECONDS,
        )

    async def _run_claimed(
        self, order: ServiceCall, claim: claims_module.Claim
    ) -> questions.Called:
        """Run our claimed call at the first claimed sidecar that can."""
        refusal: errors.CrowdeckError | None = None
        for target in _targets(claim):
            try:
                return await self._send(order, target, 0)
            except errors.CrowdeckError as error:
                if error.verdict is not _NOT_RUN:
                    raise
                refusal = error
        assert refusal is not None
        raise refusal

    async def _collect_claimed(
        self, order: ServiceCall, claim: claims_module.Claim
    ) -> questions.Called | None:
        """Return the answer of another's claimed call.

        Returns ``None`` once the call is known never to run.

        :raises CrowdeckError: ``KEY_SPENT`` when it may have run, and
            nobody can tell any more.
        """
        theirs = attrs.evolve(order, request=claim.request)
        for target in _targets(claim):
            try:
                reply = await self._collect_or_seal(theirs, target)
            except errors.LinkLost as lost:
                raise _spent(lost.message) from None
            except errors.CrowdeckError as error:
                if error.verdict is _NOT_RUN:
                    continue
                raise _spent(error.message) from None
            return _called(reply)
        return None

    async def _collect_or_seal(
        self, order: ServiceCall, target: _Target
    ) -> questions.Reply:
        begin_by = self._clock.now() + BEGIN_SECONDS
        while True:
            reply = await self._collect(order, target)
            if not _is_gone(reply):
                return reply
            if self._clock.now() >= begin_by:
                break
            await anyio.sleep(RECONNECT_SECONDS)
        return await self._find_out(order, target, 0)


def _targets(claim: claims_module.Claim) -> list[_Target]:
    pairs = zip(claim.sidecars, claim.incarnations, strict=True)
    return [_Target(name, incarnation) for name, incarnation in pairs]


def _is_gone(reply: questions.Reply) -> bool:
    return (
        isinstance(reply, questions.Refused)
        and reply.code == errors.Code.ANSWER_GONE
    )


def _called(reply: questions.Reply) -> questions.Called:
    if isinstance(reply, questions.Called):
        return reply
    if isinstance(reply, questions.Refused):
        raise reply.as_error()
    raise errors.CrowdeckError(
        errors.Code.MALFORMED,
        "a call was answered by something else",
        verdict=_MAY_HAVE_RUN,
    )


def _sealed(target: _Target) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.SEALED,
        f"the link to {target.name} was lost before the call ran",
        culprit=target.name,
    )


def _spent(reason: str) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.KEY_SPENT,
        f"this key's call may have run, its answer is not to be had: {reason}",
        verdict=_MAY_HAVE_RUN,
    )
