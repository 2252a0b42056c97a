"""Finds the client account that a caller's key names.

Keys are handled by digest from the moment a caller's start message is read, so that no
key can reach a log line, a target or another process.
"""

import hashlib

from ..directory.records import RoutingTable

DIGEST_BYTES = 16


def digest_of(key: str) -> str:
    """Returns the digest that stands for a key, as hexadecimal digits.

    :returns: an empty string for an empty key, which names no account.
    """
    if not key:
        return ""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest()


class KeyRing:
    """The keys of one version of the routing table.

    :ivar version: version of that table.
    :ivar names: names of the client accounts by the digests of their keys.
    """

    __slots__ = ("version", "names")

    def __init__(self, table: RoutingTable):
        self.version = table.version
        self.names = {
            digest: account.name
            for account in table.accounts.values()
            for digest in account.key_digests
        }

    def account_of(self, digest: str) -> str | None:
        """Returns the name of the account that a key names, or ``None``."""
        return self.names.get(digest)
