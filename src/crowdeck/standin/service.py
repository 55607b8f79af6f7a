# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A stand-in for plain services: receipts, and land parcels with map tiles."""

import collections

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

TILE_COUNT = 2


class StandinService:
    """Serves receipts and land parcels (lots), and counts how often.

    :ivar runs: how often each receipt and lot was served.
    """

    def __init__(self, delay: float = 0.0) -> None:
        self._delay = delay
        self.runs: collections.Counter[str] = collections.Counter()

    def build(self) -> applications.Starlette:
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route(
                    "/receipts/{number}",
                    self._fetch_receipt,
                    methods=["GET", "POST"],
                ),
                routing.Route("/lots/{number}", self._show_lot),
                routing.Route("/standin/runs", self._show_runs),
                routing.Route("/tiles/{number}/{tile}", self._show_tile),
            ]
        )

    async def _fetch_receipt(
        self, request: requests.Request
    ) -> responses.Response:
        number = request.path_params["number"]
        self.runs[f"receipt {number}"] += 1
        await anyio.sleep(self._delay)
        run = self.runs[f"receipt {number}"]
        return responses.PlainTextResponse(f"receipt {number}, copy {run}\n")

    async def _show_runs(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.JSONResponse(dict(self.runs))

    async def _show_lot(self, request: requests.Request) -> responses.Response:
        number = request.path_params["number"]
        self.runs[f"lot {number}"] += 1
        links = ", ".join(
            f'</tiles/{number}/{tile}>; rel="companion"'
            for tile in range(TILE_COUNT)
        )
        return responses.PlainTextResponse(
            f"lot {number}\n", headers={"link": links}
        )

    async def _show_tile(
        self, request: requests.Request
    ) -> responses.Response:
        number = request.path_params["number"]
        tile = request.path_params["tile"]
        # The tiles of this lot cannot be fetched.
        if number == "torn":
            return responses.Response(status_code=404)
        return responses.Response(
            f"tile {tile} of lot {number}".encode(), media_type="image/png"
        )
