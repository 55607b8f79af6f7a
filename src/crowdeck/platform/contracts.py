# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What the platform's list of contracts in force means for this project."""

from crowdeck.platform import names


def reuse_connections(contracts: str) -> bool:
    """Whether the contracts call for connections that are used again.

    :param contracts: the names of the contracts, separated by commas.
    """
    listed = {contract.strip() for contract in contracts.split(",")}
    return names.CONNECTION_CONTRACT in listed
