"""Compressed documents of routing tables, as the log and its snapshots hold them.

Uncompressed, a table of thousands of routes does not fit into an entry of the log.
"""

import zlib

COMPRESSION_LEVEL = 6
# First byte of what zlib returns. A document is JSON, which never begins with it.
COMPRESSED_MARK = b"\x78"


def pack_document(document: bytes) -> bytes:
    """Returns a document in the form that is stored."""
    return zlib.compress(document, COMPRESSION_LEVEL)


def unpack_document(stored: bytes) -> bytes:
    """Returns the document as it was published.

    :param stored: what :func:`pack_document` returned, or a document that an earlier
        version has stored as it was published.
    """
    if not stored.startswith(COMPRESSED_MARK):
        return stored
    return zlib.decompress(stored)
