"""Recognises requests that are the same to an engine.

A request that crashes engines may come again at any entry, with another id. The entries
recognise it by a hash of what reaches the engine and of the caller's key. As nobody can
make another request with the same hash, no caller can have those of others refused.
"""

import hashlib

from toucanspread.core.entry import data as entry_data

PREFIX = "request:"  # no part of a prompt has an id with a colon
DIGEST_BYTES = 16


def make_fingerprint(
    method: bytes, target: bytes, body: bytes, call: entry_data.Call
) -> entry_data.PromptPartId:
    """Return the id that all requests have that are the same to an engine.

    The id of the attempt, and the event after which a stream is resumed, are left out.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (method, call.host.encode(), target, (call.key or "").encode()):
        hasher.update(b"%d:%b" % (len(field), field))
    hasher.update(body)
    return entry_data.PromptPartId(PREFIX + hasher.hexdigest())
