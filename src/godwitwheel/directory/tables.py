"""Decodes and validates routing table documents."""

from abc import ABC, abstractmethod

import msgspec

from .errors import InvalidTable
from .records import RoutingTable


class TableCodec(ABC):
    """Turns a published document into a routing table.

    Every control member decodes the same documents, so the result must depend only
    on the document.
    """

    @abstractmethod
    def decode(self, document: bytes) -> RoutingTable:
        """Decodes and checks a document.

        :raises InvalidTable: if it is not a valid table.
        """


class JsonTableCodec(TableCodec):
    """Reads the default format: the JSON of :class:`RoutingTable`."""

    def decode(self, document: bytes) -> RoutingTable:
        try:
            table = msgspec.json.decode(document, type=RoutingTable)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise InvalidTable(str(error)) from error
        check_table(table)
        return table


def check_table(table: RoutingTable) -> None:
    """Checks the rules that the types don't express.

    :raises InvalidTable: naming the invalid route.
    """
    for name, route in table.routes.items():
        if name != route.database:
            raise InvalidTable(f"route {name!r}: its database is {route.database!r}")
        if route.service not in table.services:
            raise InvalidTable(
                f"route {name!r}: got service {route.service!r}, expected one of "
                f"{sorted(table.services)}"
            )
        if route.statement_timeout_ms <= 0:
            raise InvalidTable(
                f"route {name!r}: got timeout {route.statement_timeout_ms} ms, "
                "expected at least 1"
            )
    for name in table.services:
        check_single_word(name, "service")
    check_accounts(table)
    check_keys(table)


def check_single_word(name: str, what: str) -> None:
    """Checks a name that targets are told as one word.

    :raises InvalidTable: naming it.
    """
    if not name or any(each.isspace() or not each.isprintable() for each in name):
        raise InvalidTable(f"{what} {name!r}: expected a name of one word")


def check_accounts(table: RoutingTable) -> None:
    """Checks names, keys and limits of the client accounts.

    :raises InvalidTable: naming the invalid account.
    """
    for name, account in table.accounts.items():
        if name != account.name:
            raise InvalidTable(f"account {name!r}: its name is {account.name!r}")
        check_single_word(name, "account")
        if "" in account.key_digests:
            raise InvalidTable(f"account {name!r}: got an empty key")
        if (account.rate_per_s or 0.0) < 0.0 or account.burst < 0.0:
            raise InvalidTable(
                f"account {name!r}: got rate {account.rate_per_s} and burst "
                f"{account.burst}, expected none below 0"
            )


def check_keys(table: RoutingTable) -> None:
    """Checks that each key identifies one client account.

    :raises InvalidTable: naming both accounts, and the key by its digest.
    """
    holders: dict[str, str] = {}
    for name, account in table.accounts.items():
        for digest in account.key_digests:
            holder = holders.setdefault(digest, name)
            if holder != name:
                raise InvalidTable(
                    f"accounts {holder!r} and {name!r} share the key {digest}"
                )
