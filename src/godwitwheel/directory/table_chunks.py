"""Changes of the routing table as compressed chunks, which any member serves.

All members have the same tables and encode a change to the same bytes, so that a
process can go on with another member at the offset that it has reached.
"""

import zlib

import msgspec

from ..wire.codec import decode
from ..wire.errors import BadMessage
from .assembly import AssemblyBudget
from .errors import AssemblyPostponed, InvalidChange, UnknownBase, UnknownTable
from .records import RoutingTable, TableChange
from .table_changes import RecentTables, table_change

# A chunk takes 1 s over a link of 0.1 Mbit/s.
CHUNK_BYTES = 12 * 1024
# Changes that are kept encoded; the least recently fetched one is dropped first.
MAX_ENCODED_CHANGES = 64
COMPRESSION_LEVEL = 6
TABLE_PATH = "/v1/directory/table"

_encoder = msgspec.json.Encoder(order="deterministic")


def table_path(base_version: int, version: int, offset: int) -> str:
    """Returns the path of a chunk."""
    return f"{TABLE_PATH}/{base_version}/{version}/{offset}"


def encode_change(change: TableChange) -> bytes:
    """Returns the bytes of a change, which are the same on every member."""
    return zlib.compress(_encoder.encode(change), COMPRESSION_LEVEL)


def decode_change(data: bytes) -> TableChange:
    """Decodes what :func:`encode_change` returned.

    :raises InvalidChange: if it is corrupt.
    """
    try:
        return decode(zlib.decompress(data), TableChange)
    except (zlib.error, BadMessage) as error:
        raise InvalidChange(str(error)) from error


class TableChunk:
    """Part of an encoded change.

    :ivar offset: position of its first byte in the encoded change.
    :ivar total: size of the whole encoded change, in bytes.
    """

    __slots__ = ("data", "offset", "total")

    def __init__(self, data: bytes, offset: int, total: int):
        self.data = data
        self.offset = offset
        self.total = total

    def content_range(self) -> str:
        """Returns the value of the ``Content-Range`` header."""
        return f"bytes {self.offset}-{self.offset + len(self.data) - 1}/{self.total}"


class TableChunks:
    """Encodes each change between two recent tables once.

    :ivar recent: the tables that were active recently.
    :ivar budget: bounds how often a complete table is encoded.
    :ivar encoded: encoded changes by base and new version, the least recently fetched
        one first.
    """

    __slots__ = ("recent", "budget", "encoded")

    def __init__(self, recent: RecentTables, budget: AssemblyBudget):
        self.recent = recent
        self.budget = budget
        self.encoded: dict[tuple[int, int], bytes] = {}

    def chunk(
        self, base_version: int, version: int, offset: int, now: float
    ) -> TableChunk:
        """Returns the part of a change from an offset on.

        :param base_version: version of the table that the process holds, or 0.
        :raises UnknownTable: if this member does not know the new version.
        :raises UnknownBase: if it does not know the base.
        :raises AssemblyPostponed: if it has put together too many tables.
        :raises BadMessage: if the offset is beyond the end.
        """
        data = self._find(base_version, version, now)
        if offset >= len(data):
            raise BadMessage(f"offset: got {offset}, expected less than {len(data)}")
        return TableChunk(data[offset : offset + CHUNK_BYTES], offset, len(data))

    def _find(self, base_version: int, version: int, now: float) -> bytes:
        pair = (base_version, version)
        data = self.encoded.pop(pair, None)
        if data is None:
            data = encode_change(self._change(base_version, version, now))
        self.encoded[pair] = data
        if len(self.encoded) > MAX_ENCODED_CHANGES:
            del self.encoded[next(iter(self.encoded))]
        return data

    def _change(self, base_version: int, version: int, now: float) -> TableChange:
        table = self.recent.find(version)
        if table is None:
            raise UnknownTable(f"version {version} is not known")
        base: RoutingTable | None = None
        if base_version:
            base = self.recent.find(base_version)
            if base is None:
                raise UnknownBase(f"base {base_version} is not known")
        elif not self.budget.take(now):
            raise AssemblyPostponed("too many complete tables")
        return table_change(base, table)
