# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A deterministic stand-in for a model.

The state of a layer for a token is a hash of its input and of its state for
the previous token; its output is a hash of that state and its input. Skipping,
repeating or reordering a layer, or running it on another request's context,
changes all following tokens. An answer that equals
:meth:`StandinModel.answer` therefore shows that each layer ran exactly once
and in order.
"""

import attrs
import xxhash

HIDDEN_BYTES = 8
WORDS = (
    "the recharge was accepted but its receipt came late so please wait "
    "for one more minute then ask the desk to fetch it again with same "
    "key before you sell another voucher and tell buyer that nothing is "
    "lost lot map boundary title stands clear of any charge on this date"
).split()
VOCABULARY_SIZE = 4096
# Mean number of tokens until one ends the answer.
MEAN_ANSWER_TOKENS = 997
FINISH_STOP = "stop"

LayerStates = tuple[int, ...]


def _mix(*numbers: int) -> int:
    data = b"".join(
        number.to_bytes(HIDDEN_BYTES, "little") for number in numbers
    )
    return xxhash.xxh3_64_intdigest(data)


@attrs.frozen
class Choice:
    """The token chosen from the last layer's output."""

    token: int
    text: str
    finish: str


@attrs.frozen
class StandinModel:
    """A model of ``layer_count`` layers.

    Its answers depend on ``name``.
    """

    name: str
    layer_count: int

    def tokenize(self, text: str) -> tuple[int, ...]:
        """Return one token for each word of ``text``."""
        return tuple(
            xxhash.xxh32_intdigest(word.encode()) % VOCABULARY_SIZE
            for word in text.split()
        )

    def embed(self, token: int) -> int:
        """Return the input of the first layer for a token."""
        return _mix(xxhash.xxh3_64_intdigest(self.name.encode()), token)

    def run_layers(
        self, first: int, end: int, states: LayerStates, hidden: int
    ) -> tuple[LayerStates, int]:
        """Run layers ``first`` to ``end - 1`` for one token.

        :param states: the layers' states for the previous token.
        :return: their states for this token, and the output.
        """
        updated = []
        for offset, layer in enumerate(range(first, end)):
            state = _mix(states[offset], hidden, layer)
            hidden = _mix(state, hidden)
            updated.append(state)
        return tuple(updated), hidden

    def choose(self, hidden: int) -> Choice:
        """Choose the token for the last layer's output."""
        token = hidden % VOCABULARY_SIZE
        word = WORDS[token % len(WORDS)]
        is_last = hidden % MEAN_ANSWER_TOKENS == 0
        return Choice(token, word + " ", FINISH_STOP if is_last else "")

    def answer(self, prompt: str, max_tokens: int) -> list[Choice]:
        """Return the correct answer, computed without any pipeline."""
        states: LayerStates = (0,) * self.layer_count
        hidden = 0
        for token in self.tokenize(prompt):
            states, hidden = self.run_layers(
                0, self.layer_count, states, self.embed(token)
            )
        choices = [self.choose(hidden)]
        while not choices[-1].finish and len(choices) < max_tokens:
            states, hidden = self.run_layers(
                0, self.layer_count, states, self.embed(choices[-1].token)
            )
            choices.append(self.choose(hidden))
        return choices
