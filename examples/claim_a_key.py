# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Two workers claim the same idempotency key; one of them holds it.

Run it with ``python examples/claim_a_key.py``.
"""

import time

import anyio

import crowdeck
from crowdeck.standin import store
from crowdeck.state import claims
from crowdeck import timers


async def work(name: str, ledger: crowdeck.ClaimsLedger) -> None:
    """Claim a key and do its work only if this worker holds it."""
    claim = crowdeck.Claim(
        key=claims.digest_key("team", "receipts", "sale-81"),
        fingerprint="",
        request=f"request-of-{name}",
        nonce=claims.new_nonce(),
        sidecars=(name,),
        incarnations=(1,),
        expires=time.time() + 900,
    )
    holder = await ledger.claim(claim)
    if holder.nonce == claim.nonce:
        print(f"{name} holds the key and does the work")
    else:
        print(f"{name} leaves the work to {holder.sidecars[0]}")


async def main() -> None:
    """Claim the same key from the ledgers of two workers."""
    shared_store = store.StandinStore()
    async with anyio.create_task_group() as tasks:
        for name in ("left", "right"):
            ledger = crowdeck.ClaimsLedger(
                shared_store, timers.LoopClock(), time.time
            )
            tasks.start_soon(work, name, ledger)


if __name__ == "__main__":
    anyio.run(main)
