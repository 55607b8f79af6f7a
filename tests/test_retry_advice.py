# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Retry delays of refused callers, and token counts of requests."""

import random

import anyio

from crowdeck.relay import request as requests
from crowdeck.relay import retry_advice
from tests import virtual


class TestRetryAdvisor:
    """Retries are spread over the time in which capacity becomes free."""

    def test_single_refusal_has_the_minimum_delay(self) -> None:
        async def body() -> None:
            advisor = retry_advice.RetryAdvisor(random.Random(1))
            assert advisor.record_refusal() == retry_advice.MIN_DELAY_SECONDS

        virtual.run(body)

    def test_many_refusals_are_spread(self) -> None:
        # With the same delay for all, requests refused together would retry
        # together.
        async def body() -> None:
            advisor = retry_advice.RetryAdvisor(random.Random(1))
            for _ in range(20):
                advisor.note_end()
            delays = [advisor.record_refusal() for _ in range(40)]
            assert max(delays) > 2.0
            assert min(delays) < 0.5
            assert max(delays) <= retry_advice.MAX_DELAY_SECONDS

        virtual.run(body)

    def test_old_refusals_are_forgotten(self) -> None:
        async def body() -> None:
            advisor = retry_advice.RetryAdvisor(random.Random(1))
            for _ in range(40):
                advisor.record_refusal()
            await anyio.sleep(retry_advice.WINDOW_SECONDS + 0.1)
            assert advisor.record_refusal() == retry_advice.MIN_DELAY_SECONDS

        virtual.run(body)


class TestTokenCounts:
    """Mean number of tokens that a request holds while it runs."""

    def test_half_of_the_answer_is_counted(self) -> None:
        token_counts = requests.TokenCounts(700, 400)
        assert token_counts.mean_tokens(200.0) == 800.0

    def test_hint_counts_as_much_as_the_mean_answer(self) -> None:
        token_counts = requests.TokenCounts(700, 400, 100)
        assert token_counts.mean_tokens(200.0) == 775.0

    def test_answer_is_limited(self) -> None:
        token_counts = requests.TokenCounts(700, 10, 100)
        assert token_counts.mean_tokens(200.0) == 705.0
