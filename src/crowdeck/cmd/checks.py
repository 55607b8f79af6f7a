# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Checks a configuration and the files that it refers to."""

import pathlib
import ssl

from crowdeck import errors
from crowdeck.settings import config as configs


def check(path: pathlib.Path) -> configs.Config:
    """Load a configuration and its TLS files.

    :raises ConfigError: with a one-line message.
    """
    config = configs.load(path)
    config.tls.load()
    certificate = str(config.entry["tls_certificate"])
    if certificate:
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        try:
            context.load_cert_chain(
                certificate, str(config.entry["tls_key"]) or None
            )
        except (OSError, ssl.SSLError) as error:
            raise errors.ConfigError(
                f"{path}: [entry] tls_certificate: {error}"
            ) from None
    return config
