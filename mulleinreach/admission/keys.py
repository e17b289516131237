"""Authenticates API keys."""

from __future__ import annotations

import hashlib

from mulleinreach.common import Code, MulleinreachError
from mulleinreach.intents import ConfigDocument, OrganisationIntent


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key in hexadecimal, as stored in an intent.

    Examples
    ========

    >>> hash_key("k")[:8]
    '8254c329'
    """
    return hashlib.sha256(key.encode()).hexdigest()


class KeyTable:
    """The organisations of the current configuration, by hash of their keys."""

    def __init__(self) -> None:
        self._by_hash: dict[str, OrganisationIntent] = {}

    def follow(self, document: ConfigDocument) -> None:
        """Replace the keys by those of a new configuration."""
        self._by_hash = {
            digest: organisation
            for organisation in document.intent.organisations
            for digest in organisation.key_sha256
        }

    def authenticate(self, header: str | None) -> OrganisationIntent:
        """Return the organisation of an ``Authorization: Bearer`` header, or raise."""
        scheme, _, key = (header or "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise MulleinreachError(Code.UNAUTHENTICATED, "an API key is required: Bearer KEY")
        found = self._by_hash.get(hash_key(key.strip()))
        if found is None:
            raise MulleinreachError(Code.UNAUTHENTICATED, "the API key is not known")
        return found
