"""The sequence of accepted changes, as records and pure functions.

The key-value service holds two values. The head names the newest revision and carries
the last changes; the snapshot is the whole configuration at one revision, for a reader
that is further behind than the head's changes reach. Both are JSON, so that an operator
can read them with the service's own tools.
"""

from collections.abc import Iterable, Mapping

import msgspec
import xxhash

from toucanspread.core import data, decoder

HEAD_KEY = "config/head"
SNAPSHOT_KEY = "config/snapshot"

MAX_HEAD_CHANGES_BYTES = 12 * 1024  # every watcher reads the head once per change
MAX_SNAPSHOT_BYTES = 960 * 1024  # the service limits a value to 1 MiB


class ChangeLogError(Exception):
    """A value of the key-value service can't be decoded as a head or a snapshot."""


class Stamp(data.Record):
    """The newest change of one service.

    :param intent: what is in force; None once the service was removed.
    """

    service: data.ServiceName
    revision: data.Revision
    operation_id: data.OperationId
    plan_id: data.PlanId
    intent: data.Intent | None = None


class Head(data.Record):
    """The newest revision and the changes that led to it.

    :param digest: a hash over all changes up to ``revision``, in order.
    :param changes: the last changes, oldest first; at least all those above
        ``snapshot_revision``.
    """

    revision: data.Revision = data.Revision(0)
    digest: str = ""
    snapshot_revision: data.Revision = data.Revision(0)
    changes: tuple[data.Change, ...] = ()


class Snapshot(data.Record):
    """The whole configuration at one revision, removed services included."""

    revision: data.Revision = data.Revision(0)
    digest: str = ""
    stamps: tuple[Stamp, ...] = ()


_encoder = msgspec.json.Encoder()
_msgpack_encoder = msgspec.msgpack.Encoder()
_head_decoder = decoder.JsonDecoder(Head)
_snapshot_decoder = decoder.JsonDecoder(Snapshot)


def encode(value: Head | Snapshot) -> bytes:
    """Return the bytes that the key-value service holds."""
    return _encoder.encode(value)


def decode_head(value: bytes) -> Head:
    """Return the head of a value; an absent key reads as the empty head.

    :raises ChangeLogError: when the value is something else.
    """
    return _decode(_head_decoder, value, "head") if value else Head()


def decode_snapshot(value: bytes) -> Snapshot:
    """Return the snapshot of a value; an absent key reads as the empty one.

    :raises ChangeLogError: when the value is something else.
    """
    return _decode(_snapshot_decoder, value, "snapshot") if value else Snapshot()


def extend_digest(digest: str, change: data.Change) -> str:
    """Return the digest of a history extended by ``change``.

    :param digest: the digest of the history before the change.
    """
    return xxhash.xxh3_64_hexdigest(digest.encode() + _encoder.encode(change))


def count_change_bytes(change: data.Change) -> int:
    """Return how many bytes a change takes up in the head."""
    return len(_encoder.encode(change))


def append_change(head: Head, change: data.Change) -> Head | None:
    """Return the head with one more change; None if a snapshot must be written first.

    Changes that the snapshot also holds are kept while they fit, so that readers that
    are a little behind need no snapshot.
    """
    changes = (*head.changes, change)
    sizes = [count_change_bytes(each) for each in changes]
    first = 0
    while sum(sizes[first:]) > MAX_HEAD_CHANGES_BYTES and first < len(changes) - 1:
        if changes[first].revision > head.snapshot_revision:
            return None
        first += 1
    return Head(
        revision=change.revision,
        digest=extend_digest(head.digest, change),
        snapshot_revision=head.snapshot_revision,
        changes=changes[first:],
    )


def build_stamps(change: data.Change) -> list[Stamp]:
    """Return the stamps that a change sets."""
    stamps = []
    for intent in change.intents:
        stamps.append(_build_stamp(change, intent.service, intent))
    for service in change.removed:
        stamps.append(_build_stamp(change, service, None))
    return stamps


def _build_stamp(
    change: data.Change, service: data.ServiceName, intent: data.Intent | None
) -> Stamp:
    return Stamp(service, change.revision, change.operation_id, change.plan_id, intent)


def select_stamps_above(
    stamps: Mapping[data.ServiceName, Stamp], revision: data.Revision
) -> tuple[Stamp, ...]:
    """Return the stamps above ``revision``, the oldest first."""
    newer = [stamp for stamp in stamps.values() if stamp.revision > revision]
    newer.sort(key=lambda stamp: (stamp.revision, stamp.service))
    return tuple(newer)


def replay_changes(snapshot: Snapshot, head: Head) -> Snapshot | None:
    """Return the configuration at the head; None if changes in between are missing."""
    if snapshot.revision >= head.revision:
        return snapshot
    newer_changes = [each for each in head.changes if each.revision > snapshot.revision]
    if len(newer_changes) != head.revision - snapshot.revision:
        return None
    stamps = {stamp.service: stamp for stamp in snapshot.stamps}
    for change in newer_changes:
        for stamp in build_stamps(change):
            stamps[stamp.service] = stamp
    return Snapshot(
        head.revision, head.digest, select_stamps_above(stamps, data.Revision(0))
    )


def collect_services(
    intents: Iterable[data.Intent], removed: Iterable[data.ServiceName]
) -> set[data.ServiceName]:
    """Return the services that a proposal sets or removes."""
    return {intent.service for intent in intents} | set(removed)


def count_stamps_bytes(stamps: Iterable[Stamp]) -> int:
    """Return approximately how many bytes stamps take up in a message."""
    return len(_msgpack_encoder.encode(tuple(stamps)))


def _decode(
    value_decoder: decoder.JsonDecoder, value: bytes, name: str
) -> Head | Snapshot:
    try:
        return value_decoder.decode(value)
    except decoder.MalformedError as error:
        raise ChangeLogError(f"malformed {name}: {error}") from error
