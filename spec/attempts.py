# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""One answer over two stages: epochs, positions and layers."""

from collections import abc
import typing

from spec import model

EPOCHS = "records of other epochs are refused"
POSITIONS = "records of other positions are refused"
LAYERS = "a token counts only past the model's last layer"

WANTED = 2
FULL_WANTED = 3
LAST_EPOCH = 1
FULL_LAST_EPOCH = 2
REPEATS = 1

Message = tuple[str, int, int]
Lineage = tuple[int, int]


class State(typing.NamedTuple):
    """Entry, stages, records under way, and what each stage has run.

    ``runs`` holds (epoch, position, stage) once for each run.
    """

    epoch: int = 0
    delivered: tuple[Lineage, ...] = ()
    opened: tuple[int, ...] = (0,)
    head: tuple[int, int] = (-1, 0)
    tail: tuple[int, int] = (-1, 0)
    flying: frozenset[Message] = frozenset({("open", 0, 0)})
    runs: tuple[tuple[int, int, int], ...] = ()
    repeats: int = REPEATS


class Attempts:
    """The entry may give an attempt up at any moment, wrongly too."""

    name = "attempts"
    protections = (EPOCHS, POSITIONS, LAYERS)

    def initial(self) -> State:
        """Return the first state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return what may happen next."""
        found: list[model.Transition] = []
        wanted = FULL_WANTED if is_full else WANTED
        last = FULL_LAST_EPOCH if is_full else LAST_EPOCH
        for message in sorted(state.flying):
            taken = state._replace(flying=state.flying - {message})
            label = "{} {}.{}".format(*message)
            after = self._take(taken, message, protections, wanted)
            found.append((label, after))
            if state.repeats:
                kept = state._replace(repeats=state.repeats - 1)
                again = self._take(kept, message, protections, wanted)
                found.append((f"{label}, repeated", again))
            found.append((f"{label} is lost", taken))
            if message[0] == "step":
                crossed = ("early token", message[1], message[2])
                flying = taken.flying | {crossed}
                found.append(
                    (f"{label} is crossed", taken._replace(flying=flying))
                )
        if state.epoch < last and len(state.delivered) < wanted:
            found.append(("give up", self._give_up(state)))
        return found

    def _give_up(self, state: State) -> State:
        epoch = state.epoch + 1
        position = len(state.delivered)
        return state._replace(
            epoch=epoch,
            opened=(*state.opened, position),
            flying=state.flying | {("open", epoch, position)},
        )

    def _take(
        self,
        state: State,
        message: Message,
        protections: frozenset[str],
        wanted: int,
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
                if LAYERS in protections:
                    return state
        return self._token(state, epoch, position, protections, wanted)

    def _open(
        self,
        state: State,
        epoch: int,
        position: int,
        protections: frozenset[str],
    ) -> State:
        if epoch <= state.head[0] and EPOCHS in protections:
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
        held, expected = state.tail
        if epoch < held and EPOCHS in protections:
            return state
        is_repeat = epoch == held and position != expected
        if is_repeat and POSITIONS in protections:
            return state
        after = _run(state, epoch, position, 1)
        return after._replace(tail=(epoch, position + 1))

    def _token(
        self,
        state: State,
        epoch: int,
        position: int,
        protections: frozenset[str],
        wanted: int,
    ) -> State:
        held, expected = state.head
        if epoch != held and EPOCHS in protections:
            return state
        if position != expected - 1 and POSITIONS in protections:
            return state
        flying = state.flying | {("answer", epoch, position)}
        after = state._replace(flying=flying)
        if position + 1 >= wanted:
            # The answer is whole: the head takes no more tokens for it.
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
        if epoch != state.epoch and EPOCHS in protections:
            return state
        is_next = position == len(state.delivered)
        if not is_next and POSITIONS in protections:
            return state
        return state._replace(delivered=(*state.delivered, (epoch, position)))

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the properties."""
        return {
            "each layer runs exactly once for every delivered token": (
                _has_each_layer_once
            ),
            "an answer is delivered whole and in order": _is_in_order,
            "each delivered token follows from those before it": (
                _is_one_lineage
            ),
        }


def _run(state: State, epoch: int, position: int, stage: int) -> State:
    kind = "step" if stage == 0 else "token"
    runs = tuple(sorted((*state.runs, (epoch, position, stage))))
    flying = state.flying | {(kind, epoch, position)}
    return state._replace(runs=runs, flying=flying)


def _has_each_layer_once(state: State) -> bool:
    return all(
        state.runs.count((epoch, position, stage)) == 1
        for epoch, position in state.delivered
        for stage in (0, 1)
    )


def _is_in_order(state: State) -> bool:
    positions = [position for _, position in state.delivered]
    return positions == list(range(len(positions)))


def _is_one_lineage(state: State) -> bool:
    pairs = zip(state.delivered, state.delivered[1:], strict=False)
    return all(
        before[0] == after[0] or state.opened[after[0]] == after[1]
        for before, after in pairs
    )
