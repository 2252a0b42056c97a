"""The on-disk record format: length, checksum, payload.

A batch is what one sync makes durable. It begins with a record that holds its own
offset in the file. A batch is written only after the previous one was synced.
Therefore a damaged record that is followed by an intact batch start had been synced,
which is corruption. A damaged record without one is a torn write that was never
acknowledged, so it can be dropped.
"""

import struct

import msgspec
import xxhash

from .errors import CorruptLog
from .messages import Entry, HardState

HEADER = struct.Struct("<IQ")


class LogStart(msgspec.Struct, frozen=True, tag="log_start"):
    """First record of a log: the index and term before its first entry."""

    base_index: int
    base_term: int


class BatchStart(msgspec.Struct, frozen=True, tag="batch_start"):
    """First record of a batch; ``offset`` is its position in the file, in bytes."""

    offset: int


class HardStateRecord(msgspec.Struct, frozen=True, tag="hard_state"):
    """Replaces the stored hard state."""

    hard_state: HardState


class EntryRecord(msgspec.Struct, frozen=True, tag="entry"):
    """Replaces the stored entries from the entry's index on."""

    entry: Entry


Record = LogStart | BatchStart | HardStateRecord | EntryRecord

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


def frame(payload: bytes) -> bytes:
    """Prefixes a payload with its length and checksum."""
    return HEADER.pack(len(payload), xxhash.xxh3_64_intdigest(payload)) + payload


def encode_record(record: Record) -> bytes:
    """Encodes a record with its length and checksum."""
    return frame(_encoder.encode(record))


def unframe(data: bytes, offset: int) -> bytes | None:
    """Returns the payload at ``offset``, or ``None`` if it is not intact."""
    start = offset + HEADER.size
    if start > len(data):
        return None
    length, checksum = HEADER.unpack_from(data, offset)
    if length == 0 or start + length > len(data):
        return None
    payload = data[start : start + length]
    if xxhash.xxh3_64_intdigest(payload) != checksum:
        return None
    return payload


def read_records(data: bytes) -> tuple[list[Record], int]:
    """Reads the records up to the end of the data or to a torn write.

    :returns: the records, and the length of the intact part in bytes.
    :raises CorruptLog: if a record that was synced is damaged.
    """
    records = []
    offset = 0
    while offset < len(data):
        payload = unframe(data, offset)
        if payload is None:
            _check_torn_tail(data, offset)
            break
        records.append(_decode(payload, offset))
        offset += HEADER.size + len(payload)
    return records, offset


def _decode(payload: bytes, offset: int) -> Record:
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise CorruptLog(f"record at byte {offset}: {error}") from error


def _check_torn_tail(data: bytes, damaged_at: int) -> None:
    for offset in range(damaged_at + 1, len(data) - HEADER.size):
        payload = unframe(data, offset)
        if payload is not None and _is_batch_start(payload, offset):
            raise CorruptLog(
                f"record at byte {damaged_at} is damaged, but the batch at byte "
                f"{offset} was written after it had been synced"
            )


def _is_batch_start(payload: bytes, offset: int) -> bool:
    try:
        record = _decoder.decode(payload)
    except msgspec.DecodeError:
        return False
    return isinstance(record, BatchStart) and record.offset == offset
