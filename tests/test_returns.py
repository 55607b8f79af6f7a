# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""When refused callers are told to come back, and what requests hold."""

import random

import anyio

from crowdeck.relay import request as requests
from crowdeck.relay import retry_advice
from tests import virtual


class TestReturnTimes:
    """Returns spread over the time in which room comes."""

    def test_a_lone_refusal_comes_back_soon(self) -> None:
        async def body() -> None:
            times = retry_advice.RetryAdvisor(random.Random(1))
            assert times.estimate_delay() == retry_advice.MIN_DELAY_SECONDS

        virtual.run(body)

    def test_many_refusals_are_spread(self) -> None:
        # A burst's 600 refusals were all told 0.3 s, came back into it
        # together, and 200 of them were refused for good.
        async def body() -> None:
            times = retry_advice.RetryAdvisor(random.Random(1))
            for _ in range(20):
                times.note_end()
            told = [times.estimate_delay() for _ in range(40)]
            assert max(told) > 2.0
            assert min(told) < 0.5
            assert max(told) <= retry_advice.MAX_DELAY_SECONDS

        virtual.run(body)

    def test_what_lies_back_is_forgotten(self) -> None:
        async def body() -> None:
            times = retry_advice.RetryAdvisor(random.Random(1))
            for _ in range(40):
                times.estimate_delay()
            await anyio.sleep(retry_advice.WINDOW_SECONDS + 0.1)
            assert times.estimate_delay() == retry_advice.MIN_DELAY_SECONDS

        virtual.run(body)


class TestPromptSize:
    """What a request is taken to hold while it runs."""

    def test_holds_half_of_its_answer_on_average(self) -> None:
        size = requests.TokenCounts(700, 400)
        assert size.mean_tokens(200.0) == 800.0

    def test_a_guess_counts_as_much_as_the_usual(self) -> None:
        size = requests.TokenCounts(700, 400, 100)
        assert size.mean_tokens(200.0) == 775.0

    def test_never_holds_more_than_it_may(self) -> None:
        size = requests.TokenCounts(700, 10, 100)
        assert size.mean_tokens(200.0) == 705.0
