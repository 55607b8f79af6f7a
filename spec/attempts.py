# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""One answer that two pipeline stages generate, over several attempts."""

from collections import abc
import typing

from spec import model

REFUSES_OTHER_EPOCHS = "records of other epochs are refused"
REFUSES_OTHER_POSITIONS = "records of other positions are refused"
LAST_LAYER_ONLY = "a token is accepted only from the model's last layer"

TOKENS = 2
FULL_TOKENS = 3
LAST_EPOCH = 1
FULL_LAST_EPOCH = 2
DUPLICATES = 1

Message = tuple[str, int, int]
DeliveredToken = tuple[int, int]


class State(typing.NamedTuple):
    """Entry, both stages, messages in flight, and what each stage has run.

    ``epoch`` is the entry's current attempt, ``opened`` the position at which
    each attempt began. ``head`` and ``tail`` hold the epoch that the first
    and the last stage last accepted and the position that they run next.
    ``runs`` holds (epoch, position, stage) once for each run.
    """

    epoch: int = 0
    delivered: tuple[DeliveredToken, ...] = ()
    opened: tuple[int, ...] = (0,)
    head: tuple[int, int] = (-1, 0)
    tail: tuple[int, int] = (-1, 0)
    in_flight: frozenset[Message] = frozenset({("open", 0, 0)})
    runs: tuple[tuple[int, int, int], ...] = ()
    duplicates_left: int = DUPLICATES


class Attempts:
    """Attempts, which the entry may abandon even while they make progress."""

    name = "attempts"
    protections = (
        REFUSES_OTHER_EPOCHS,
        REFUSES_OTHER_POSITIONS,
        LAST_LAYER_ONLY,
    )

    def initial(self) -> State:
        """Return the initial state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return the transitions that are enabled in a state."""
        found: list[model.Transition] = []
        token_count = FULL_TOKENS if is_full else TOKENS
        last = FULL_LAST_EPOCH if is_full else LAST_EPOCH
        for message in sorted(state.in_flight):
            received = state._replace(in_flight=state.in_flight - {message})
            label = "{} {}.{}".format(*message)
            after = self._receive(received, message, protections, token_count)
            found.append((label, after))
            if state.duplicates_left:
                retained = state._replace(
                    duplicates_left=state.duplicates_left - 1
                )
                duplicated = self._receive(
                    retained, message, protections, token_count
                )
                found.append((f"{label} is duplicated", duplicated))
            found.append((f"{label} is lost", received))
            # A stage before the last may return its output as if it were a
            # token.
            if message[0] == "step":
                early = ("early token", message[1], message[2])
                in_flight = received.in_flight | {early}
                found.append(
                    (
                        f"{label} comes back as a token",
                        received._replace(in_flight=in_flight),
                    )
                )
        if state.epoch < last and len(state.delivered) < token_count:
            found.append(("abandon the attempt", self._abandon(state)))
        return found

    def _abandon(self, state: State) -> State:
        epoch = state.epoch + 1
        position = len(state.delivered)
        return state._replace(
            epoch=epoch,
            opened=(*state.opened, position),
            in_flight=state.in_flight | {("open", epoch, position)},
        )

    def _receive(
        self,
        state: State,
        message: Message,
        protections: frozenset[str],
        token_count: int,
    ) -> State:
        kind, epoch, position = message
        match kind:
            case "open":
                return self._open(state, epoch, position, protections)
            case "step":
                return self._step(state, epoch, position, protections)
            case "answer":
                return self._answer(state, epoch, position, protections)
            case "early token":
                # If accepted, it is handled like a token.
                if LAST_LAYER_ONLY in protections:
                    return state
        return self._token(state, epoch, position, protections, token_count)

    def _open(
        self,
        state: State,
        epoch: int,
        position: int,
        protections: frozenset[str],
    ) -> State:
        if epoch <= state.head[0] and REFUSES_OTHER_EPOCHS in protections:
            return state
        return _run(state, epoch, position, 0)._replace(
            head=(epoch, position + 1)
        )

    def _step(
        self,
        state: State,
        epoch: int,
        position: int,
        protections: frozenset[str],
    ) -> State:
        tail_epoch, expected = state.tail
        if epoch < tail_epoch and REFUSES_OTHER_EPOCHS in protections:
            return state
        has_other_position = epoch == tail_epoch and position != expected
        if has_other_position and REFUSES_OTHER_POSITIONS in protections:
            return state
        after = _run(state, epoch, position, 1)
        return after._replace(tail=(epoch, position + 1))

    def _token(
        self,
        state: State,
        epoch: int,
        position: int,
        protections: frozenset[str],
        token_count: int,
    ) -> State:
        head_epoch, next_position = state.head
        if epoch != head_epoch and REFUSES_OTHER_EPOCHS in protections:
            return state
        if (
            position != next_position - 1
            and REFUSES_OTHER_POSITIONS in protections
        ):
            return state
        in_flight = state.in_flight | {("answer", epoch, position)}
        after = state._replace(in_flight=in_flight)
        if position + 1 >= token_count:
            # The answer is complete: the head accepts no more tokens for it.
            return after._replace(head=(epoch, position + 2))
        after = _run(after, epoch, position + 1, 0)
        return after._replace(head=(epoch, position + 2))

    def _answer(
        self,
        state: State,
        epoch: int,
        position: int,
        protections: frozenset[str],
    ) -> State:
        if epoch != state.epoch and REFUSES_OTHER_EPOCHS in protections:
            return state
        is_next = position == len(state.delivered)
        if not is_next and REFUSES_OTHER_POSITIONS in protections:
            return state
        return state._replace(delivered=(*state.delivered, (epoch, position)))

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the invariants by name."""
        return {
            "each layer runs exactly once for every delivered token": (
                _runs_each_layer_once
            ),
            "an answer is delivered in order and without gaps": _is_in_order,
            "each delivered token continues the ones delivered before it": (
                _continues_prefix
            ),
        }


def _run(state: State, epoch: int, position: int, stage: int) -> State:
    kind = "step" if stage == 0 else "token"
    runs = tuple(sorted((*state.runs, (epoch, position, stage))))
    in_flight = state.in_flight | {(kind, epoch, position)}
    return state._replace(runs=runs, in_flight=in_flight)


def _runs_each_layer_once(state: State) -> bool:
    return all(
        state.runs.count((epoch, position, stage)) == 1
        for epoch, position in state.delivered
        for stage in (0, 1)
    )


def _is_in_order(state: State) -> bool:
    positions = [position for _, position in state.delivered]
    return positions == list(range(len(positions)))


def _continues_prefix(state: State) -> bool:
    pairs = zip(state.delivered, state.delivered[1:], strict=False)
    return all(
        before[0] == after[0] or state.opened[after[0]] == after[1]
        for before, after in pairs
    )
