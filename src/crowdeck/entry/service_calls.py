# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Calls of plain services through their sidecars.

Plain services are HTTP upstreams other than model engines.

When a reply is lost, the sidecar that the call was sent to is asked to seal
it: either the call has not run and never will, or its answer is collected.
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

SEAL_TIMEOUT_SECONDS = 1.0
OUTCOME_RETRY_SECONDS = 0.1
# How long a sidecar that stopped answering is asked for a call's outcome.
# Pauses and reconnects are over by then, and the caller is not to wait for a
# machine that is gone.
OUTCOME_TIMEOUT_SECONDS = 5.0
# How long a second caller with the same key waits for the first one's call
# to begin before sealing it. By then the first one has sent it or is dead.
BEGIN_TIMEOUT_SECONDS = 0.5
# Number of sidecars at which a claimed call may be tried.
MAX_SIDECARS_PER_CLAIM = 2

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
        """Digest of method, path and body.

        It detects reuse of the key for a different request.
        """
        parts = (self.method, self.path, self.body.hex())
        return claims_module.digest_key(*parts)


@attrs.frozen
class _Target:
    """One incarnation of one sidecar."""

    name: str
    incarnation: int


class ServiceCalls:
    """Makes the service calls of one entry."""

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

    async def call(self, call: ServiceCall) -> questions.Called:
        """Make a call and return its answer.

        :raises CrowdeckError: with a verdict on whether the call ran.
        """
        if call.key:
            return await self._call_keyed(call)
        return await self._call_unkeyed(call)

    async def _call_unkeyed(self, call: ServiceCall) -> questions.Called:
        budget = self._budgets.get(call.team, call.service)
        budget.earn()
        backoff = retry.Backoff(self._random)
        avoided: set[str] = set()
        epoch = 0
        while True:
            try:
                target = self._pick(call.service, avoided)
                return await self._send(call, target, epoch, budget)
            except errors.CrowdeckError as error:
                may_retry = retry.may_retry(
                    error,
                    call.contract.is_repeatable,
                    budget,
                    self._clock,
                    call.deadline,
                )
                if not may_retry:
                    raise
                counters.COUNTERS.add("calls.retried")
                avoided.add(error.culprit)
                epoch += 1
            await anyio.sleep(backoff.next())

    def _pick(self, service: str, avoided: set[str]) -> _Target:
        targets = self._candidates(service)
        preferred = [
            target for target in targets if target.name not in avoided
        ]
        if not targets:
            raise errors.CrowdeckError(
                errors.Code.NO_PATH,
                f"no live instance serves {service}",
                retry_after=1.0,
            )
        return (preferred or targets)[0]

    def _candidates(self, service: str) -> list[_Target]:
        """Return the sidecars of a service, the least loaded first."""
        views = [
            view for view in self._fleet.usable if view.has_service(service)
        ]
        # Sidecars with equal load get a random order, so that entries spread
        # their calls.
        self._random.shuffle(views)
        views.sort(key=lambda view: view.inflight)
        return [_Target(view.name, view.incarnation) for view in views]

    async def _send(
        self,
        call: ServiceCall,
        target: _Target,
        epoch: int,
        budget: retry.RetryBudget | None,
    ) -> questions.Called:
        """Send a call to one sidecar and return its answer.

        :param budget: that of the call's retries, or ``None`` for a call that
            is not sent again.
        """
        message = self._message(call, target, epoch)
        peer = await self._links.get(target.name)
        self._require_incarnation(peer, target, _NOT_RUN)
        view = self._fleet.find(target.name)
        if view is not None:
            view.own_inflight += 1
        try:
            reply = await self._fleet.ask_with_probes(
                peer, message, max(0.0, message.seconds_left)
            )
        except errors.LinkLost as lost:
            may_run_again = (
                call.contract.is_repeatable
                and budget is not None
                and budget.has_retry
                and bool(self._candidates(call.service))
            )
            if not lost.was_sent or may_run_again:
                # The caller of this method sends it again, which is faster
                # than to ask a silent sidecar for the outcome.
                raise
            reply = await self._resolve_outcome(call, target, epoch)
        finally:
            if view is not None:
                view.own_inflight -= 1
        return _require_called(reply)

    def _message(
        self, call: ServiceCall, target: _Target, epoch: int
    ) -> questions.Call:
        return questions.Call(
            request=call.request,
            epoch=epoch,
            incarnation=target.incarnation,
            team=call.team,
            service=call.service,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            seconds_left=call.deadline - self._clock.now(),
            traceparent=call.traceparent,
            has_companions=call.contract.has_companions,
        )

    def _require_incarnation(
        self, peer: link.Peer, target: _Target, verdict: verdicts.Verdict
    ) -> None:
        if peer.greeting.incarnation != target.incarnation:
            raise errors.CrowdeckError(
                errors.Code.WRONG_INCARNATION,
                f"{target.name} has incarnation {peer.greeting.incarnation}, "
                f"expected {target.incarnation}",
                verdict=verdict,
                culprit=target.name,
            )

    # The outcome of a call whose reply was lost, or of another caller's call.

    async def _resolve_outcome(
        self, call: ServiceCall, target: _Target, epoch: int
    ) -> questions.Reply:
        """Seal a call, or collect its answer if it may have run."""
        counters.COUNTERS.add("calls.reply_lost")
        until = min(call.deadline, self._clock.now() + OUTCOME_TIMEOUT_SECONDS)
        while self._clock.now() < until:
            try:
                outcome = await self._seal(call.request, target, epoch)
                if outcome is _NOT_RUN:
                    raise _sealed_error(target)
                return await self._collect(call, target)
            except errors.LinkLost:
                await anyio.sleep(OUTCOME_RETRY_SECONDS)
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
        self._require_incarnation(peer, target, _MAY_HAVE_RUN)
        question = questions.Seal(request, epoch, target.incarnation)
        reply = await peer.ask(question, SEAL_TIMEOUT_SECONDS)
        if isinstance(reply, questions.Sealed):
            return reply.outcome
        return _MAY_HAVE_RUN

    async def _collect(
        self, call: ServiceCall, target: _Target
    ) -> questions.Reply:
        peer = await self._links.get(target.name)
        self._require_incarnation(peer, target, _MAY_HAVE_RUN)
        seconds_left = call.deadline - self._clock.now()
        question = questions.Collect(call.request, call.team)
        return await self._fleet.ask_with_probes(
            peer, question, max(0.0, seconds_left)
        )

    # Keyed calls.

    async def _call_keyed(self, call: ServiceCall) -> questions.Called:
        own = self._make_claim(call)
        holder = await self._claims.claim(own)
        while holder.nonce != own.nonce:
            if holder.fingerprint != own.fingerprint:
                raise errors.CrowdeckError(
                    errors.Code.KEY_IN_USE,
                    "this idempotency key was used for another request",
                )
            answer = await self._collect_claimed(call, holder)
            if answer is not None:
                counters.COUNTERS.add("calls.answered_again")
                return answer
            # The holder's call is sealed at every sidecar that could have
            # run it, so this call may take over the key.
            holder = await self._claims.claim(own, replaces=holder.nonce)
        return await self._run_claimed(call, own)

    def _make_claim(self, call: ServiceCall) -> claims_module.Claim:
        targets = self._candidates(call.service)[:MAX_SIDECARS_PER_CLAIM]
        if not targets:
            raise errors.CrowdeckError(
                errors.Code.NO_PATH,
                f"no live instance serves {call.service}",
                retry_after=1.0,
            )
        return claims_module.Claim(
            key=claims_module.digest_key(call.team, call.service, call.key),
            fingerprint=call.fingerprint,
            request=call.request,
            nonce=claims_module.new_nonce(),
            sidecars=tuple(target.name for target in targets),
            incarnations=tuple(target.incarnation for target in targets),
            expires=self._wall_clock() + claims_module.CLAIM_TTL_SECONDS,
        )

    async def _run_claimed(
        self, call: ServiceCall, claim: claims_module.Claim
    ) -> questions.Called:
        """Run a claimed call at the first of its sidecars that accepts it."""
        refusal: errors.CrowdeckError | None = None
        for target in _targets(claim):
            try:
                return await self._send(call, target, 0, budget=None)
            except errors.CrowdeckError as error:
                if error.verdict is not _NOT_RUN:
                    raise
                refusal = error
        assert refusal is not None
        raise refusal

    async def _collect_claimed(
        self, call: ServiceCall, claim: claims_module.Claim
    ) -> questions.Called | None:
        """Return the answer of another caller's claimed call.

        Returns ``None`` once the call is known never to run.

        :raises CrowdeckError: ``KEY_SPENT`` if the call may have run and
            its answer is not available.
        """
        claimed_call = attrs.evolve(call, request=claim.request)
        for target in _targets(claim):
            try:
                reply = await self._collect_or_seal(claimed_call, target)
            except errors.LinkLost as lost:
                raise _key_spent_error(lost.message) from None
            except errors.CrowdeckError as error:
                if error.verdict is _NOT_RUN:
                    continue
                raise _key_spent_error(error.message) from None
            return _require_called(reply)
        return None

    async def _collect_or_seal(
        self, call: ServiceCall, target: _Target
    ) -> questions.Reply:
        begin_by = self._clock.now() + BEGIN_TIMEOUT_SECONDS
        while True:
            reply = await self._collect(call, target)
            if not _is_gone(reply):
                return reply
            if self._clock.now() >= begin_by:
                break
            await anyio.sleep(OUTCOME_RETRY_SECONDS)
        return await self._resolve_outcome(call, target, 0)


def _targets(claim: claims_module.Claim) -> list[_Target]:
    pairs = zip(claim.sidecars, claim.incarnations, strict=True)
    return [_Target(name, incarnation) for name, incarnation in pairs]


def _is_gone(reply: questions.Reply) -> bool:
    return (
        isinstance(reply, questions.Refused)
        and reply.code == errors.Code.ANSWER_GONE
    )


def _require_called(reply: questions.Reply) -> questions.Called:
    if isinstance(reply, questions.Called):
        return reply
    if isinstance(reply, questions.Refused):
        raise reply.as_error()
    raise errors.CrowdeckError(
        errors.Code.MALFORMED,
        f"the reply to a call is {type(reply).__name__}, expected Called",
        verdict=_MAY_HAVE_RUN,
    )


def _sealed_error(target: _Target) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.SEALED,
        f"the call was sealed at {target.name} before it ran, and will not "
        f"run there",
        culprit=target.name,
    )


def _key_spent_error(reason: str) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.KEY_SPENT,
        f"the call with this key may have run, and its answer is not "
        f"available: {reason}",
        verdict=_MAY_HAVE_RUN,
    )
