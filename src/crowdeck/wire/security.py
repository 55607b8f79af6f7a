# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""TLS contexts of links between processes."""

import ssl

import attrs


@attrs.frozen
class TlsContexts:
    """TLS contexts for both ends of a link; ``None`` for unencrypted TCP."""

    server: ssl.SSLContext | None = None
    client: ssl.SSLContext | None = None
