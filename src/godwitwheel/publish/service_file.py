"""Reads one service file.

A file is TOML::

    service = "hangar-ledger"
    key_retention = "24h"

    [defaults]
    group = "bookings"
    max_staleness = "0s"

    [reads]
    my-bookings = {}
    free-bays = { group = "bays", max_staleness = "2s" }

    [writes]
    book-slot = { repeatable = false }

``defaults`` and ``key_retention`` may be omitted. A read may omit what ``defaults``
sets. With a ``max_staleness`` of ``0s``, the default, a read reflects every
acknowledged write. A write must declare whether it is repeatable.
"""

import re
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from ..internal.errors import InvalidValue
from ..internal.validation import check_name
from ..wire.service import Access, RequestRule, Service
from .durations import parse_duration_ms
from .errors import InvalidServiceFiles

SHORTEST_STALENESS = "0s"
LONGEST_STALENESS = "1d"
SHORTEST_RETENTION = "1m"
LONGEST_RETENTION = "7d"
_MS_PER_S = 1_000
_UNKNOWN_FIELD = re.compile(r"unknown field `(.*)`")
_MISSING_FIELD = re.compile(r"missing required field `(.*)`")


class _StrictTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The base of tables that reject unknown keys."""


class _File(_StrictTable):
    service: str
    key_retention: str = "1d"
    defaults: dict[str, Any] = {}
    reads: dict[str, Any] = {}
    writes: dict[str, Any] = {}


class _Defaults(_StrictTable):
    group: str = ""
    max_staleness: str = SHORTEST_STALENESS


class _Read(_StrictTable):
    group: str = ""
    max_staleness: str = ""


class _Write(_StrictTable):
    repeatable: bool
    group: str = ""


class ServiceFile:
    """Reads the service that a file declares, or collects the faults of the file.

    :ivar problems: one message for each fault, with file, key and value.
    """

    __slots__ = ("path", "problems")

    def __init__(self, path: Path):
        self.path = path
        self.problems: list[str] = []

    def read(self) -> Service:
        """Reads and checks the file.

        :raises InvalidServiceFiles: naming every fault.
        """
        return self.check(self.load())

    def check(self, raw: dict[str, Any]) -> Service:
        """Checks the content of the file.

        :raises InvalidServiceFiles: naming every fault.
        """
        content = self.convert("", raw, _File)
        service = None if content is None else self.build(content)
        if self.problems:
            raise InvalidServiceFiles(self.problems)
        return service

    def load(self) -> dict[str, Any]:
        """Parses the TOML."""
        try:
            return tomllib.loads(self.path.read_text("utf-8"))
        except OSError as error:
            problem = f"{self.path}: {error.strerror}"
        except (ValueError, RecursionError) as error:
            # ValueError covers invalid UTF-8, invalid TOML and numbers with too many
            # digits.
            problem = f"{self.path}: expected TOML in UTF-8: {error}"
        raise InvalidServiceFiles([problem])

    def report(self, key: str, value: object, expected: str) -> None:
        """Records a fault."""
        self.problems.append(f"{self.path}: {key}: got {value!r}, {expected}")

    def convert(self, key: str, raw: object, kind: type) -> Any:
        """Converts a table to its type, or records the fault and returns ``None``."""
        try:
            return msgspec.convert(raw, kind)
        except msgspec.ValidationError as error:
            self.report_mismatch(key, raw, kind, str(error))
            return None

    def report_mismatch(self, key: str, raw: Any, kind: type, message: str) -> None:
        """Records the key, the value and what was expected of it."""
        text, _, path = message.partition(" - at ")
        field = path.strip("`").removeprefix("$").removeprefix(".")
        text = text[:1].lower() + text[1:]
        if missing := _MISSING_FIELD.search(message):
            text = f"expected the key {missing[1]}"
        elif unknown := _UNKNOWN_FIELD.search(message):
            field = unknown[1]
            text = f"expected no such key, only {', '.join(kind.__struct_fields__)}"
        value = raw.get(field) if isinstance(raw, dict) and field else raw
        self.report(".".join(filter(None, [key, field])), value, text)

    def build(self, content: _File) -> Service:
        """Builds the service, recording every fault."""
        name = self.checked_name("service", content.service)
        retention_ms = self.duration(
            "key_retention",
            content.key_retention,
            SHORTEST_RETENTION,
            LONGEST_RETENTION,
        )
        defaults = self.convert("defaults", content.defaults, _Defaults)
        if defaults is None:
            # The placeholder avoids follow-up faults for each request.
            defaults = _Defaults(group="unreadable")
        if defaults.group:
            self.checked_name("defaults.group", defaults.group)
        requests = self.build_reads(content.reads, defaults)
        requests |= self.build_writes(content.writes, defaults)
        if not content.reads and not content.writes:
            self.report("reads, writes", {}, "expected at least one request")
        for request in content.reads.keys() & content.writes.keys():
            self.report(f"writes.{request}", request, "expected a name not in reads")
        return Service(name, requests, retention_ms // _MS_PER_S)

    def build_reads(
        self, raw_reads: dict[str, Any], defaults: _Defaults
    ) -> dict[str, RequestRule]:
        """Builds the rules of all reads."""
        default_ms = self.staleness_ms("defaults", defaults.max_staleness)
        rules = {}
        for request, raw in raw_reads.items():
            key = f"reads.{request}"
            read = self.convert(key, raw, _Read)
            if read is None:
                continue
            staleness_ms = default_ms
            if read.max_staleness:
                staleness_ms = self.staleness_ms(key, read.max_staleness)
            group = self.group(key, read.group, defaults)
            name = self.checked_name(key, request)
            rules[name] = RequestRule(group, Access.read, staleness_ms)
        return rules

    def build_writes(
        self, raw_writes: dict[str, Any], defaults: _Defaults
    ) -> dict[str, RequestRule]:
        """Builds the rules of all writes."""
        rules = {}
        for request, raw in raw_writes.items():
            key = f"writes.{request}"
            write = self.convert(key, raw, _Write)
            if write is None:
                continue
            group = self.group(key, write.group, defaults)
            name = self.checked_name(key, request)
            rules[name] = RequestRule(group, Access.write, repeatable=write.repeatable)
        return rules

    def group(self, key: str, value: str, defaults: _Defaults) -> str:
        """Returns a request's group, its own or the default one."""
        if value:
            return self.checked_name(f"{key}.group", value)
        if not defaults.group:
            self.report(f"{key}.group", value, "expected a group here or in defaults")
        return defaults.group

    def staleness_ms(self, key: str, value: str) -> int:
        """Checks a staleness and returns it in milliseconds."""
        return self.duration(
            f"{key}.max_staleness", value, SHORTEST_STALENESS, LONGEST_STALENESS
        )

    def checked_name(self, key: str, value: str) -> str:
        """Checks an identifier."""
        try:
            check_name(value, f"{self.path}: {key}")
        except InvalidValue as error:
            self.problems.append(str(error))
        return value

    def duration(self, key: str, value: str, lowest: str, highest: str) -> int:
        """Checks a duration and returns it in milliseconds."""
        try:
            return parse_duration_ms(value, lowest, highest)
        except InvalidValue as error:
            self.report(key, value, str(error))
            return 0


def read_service_file(path: Path) -> Service:
    """Reads one service file.

    :raises InvalidServiceFiles: naming every fault of the file.
    """
    return ServiceFile(path).read()
