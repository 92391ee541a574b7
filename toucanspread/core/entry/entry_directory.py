"""Directory of the entries, built from their records in the store."""

import enum
import random

import msgspec

from toucanspread.core import data, decoder
from toucanspread.core.entry import region_rules
from toucanspread.core.view import source_selection

RECORDS_PREFIX = "entries/"
EXPIRED_GRACE_S = 5.0  # records that expired in an outage of the store are rewritten
MAX_ADDRESS_COUNT = 64  # maximum that callers accept
MIN_ADDRESS_COUNT = 2  # a caller needs another address when the first one fails


class EntryPhase(enum.Enum):
    """Phase of an entry's life, as reported by itself."""

    SERVING = "serving"
    LEAVING = "leaving"


class EntryRecord(msgspec.Struct, frozen=True):
    """Record that an entry writes about itself.

    :param address: address for callers.
    :param control: address for other processes of the system.
    :param reports: address for load reports, which are sent as datagrams.
    """

    name: str
    zone: str
    region: str
    address: str
    control: str
    reports: str
    phase: EntryPhase = EntryPhase.SERVING


def encode_record(record: EntryRecord) -> bytes:
    """Return a record in its encoding in the store."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> EntryRecord | None:
    """Return a record from the store, or None if it is malformed."""
    try:
        record = decoder.decode_json(value, EntryRecord)
    except decoder.MalformedError:
        return None
    if not data.is_address(record.address) or not data.is_address(record.control):
        return None
    return record if data.is_ip_address(record.reports) else None


class EntryDirectory:
    """Records of the entries by name, including this entry.

    :ivar change_count: number of changes so far; it tells whether there was one.
    """

    def __init__(self):
        self.change_count = 0
        self._records: dict[str, EntryRecord] = {}
        self._expired_s: dict[str, float] = {}

    def put(self, record: EntryRecord) -> None:
        """Add or update a record."""
        if self._records.get(record.name) != record:
            self.change_count += 1
        self._records[record.name] = record
        self._expired_s.pop(record.name, None)

    def remove(self, name: str, now_s: float, store_was_unavailable: bool) -> None:
        """Remove a record; keep it for a grace period if it may only have expired."""
        if name not in self._records:
            return
        if store_was_unavailable:
            self._expired_s.setdefault(name, now_s)
            return
        self.change_count += 1
        del self._records[name]

    def drop_expired_records(self, now_s: float) -> None:
        """Drop expired records that were not written again within the grace period."""
        for name, since_s in list(self._expired_s.items()):
            if now_s - since_s >= EXPIRED_GRACE_S:
                del self._expired_s[name]
                self._records.pop(name, None)
                self.change_count += 1

    def has(self, name: str) -> bool:
        """Return whether an entry has a record."""
        return name in self._records

    def serving(self) -> list[EntryRecord]:
        """Return the entries that accept callers."""
        return [r for r in self._records.values() if r.phase is EntryPhase.SERVING]

    def _list_present(self) -> list[EntryRecord]:
        """Return the serving entries without those whose records have expired.

        While most of the records have expired, an outage of the store is the reason.
        """
        serving = self.serving()
        present = [record for record in serving if record.name not in self._expired_s]
        return present if 2 * len(present) >= len(serving) else serving

    def all_entries(self) -> list[EntryRecord]:
        """Return all entries."""
        return list(self._records.values())

    def peers_of(self, name: str) -> list[source_selection.Peer]:
        """Return the serving entries other than the named one, as view sources."""
        peers = []
        for record in self.serving():
            if record.name != name:
                zone = data.ZoneName(record.zone)
                address = data.Address(record.control)
                peers.append(source_selection.Peer(record.name, zone, address))
        return peers

    def addresses_for(
        self,
        zone: str,
        region: str,
        random_source: random.Random,
        allowed_regions: region_rules.Regions | None = None,
    ) -> list[str]:
        """Return the entry addresses for a caller in a zone.

        The entries of the zone are used if there are enough of them, else those of the
        region, else all.

        :param allowed_regions: regions in which the caller's requests may be served;
            None for all. Entries of other regions than these and the caller's own are
            listed only if there are no others.
        """
        serving = self._list_present()
        if allowed_regions is not None:
            regions = allowed_regions | {region}
            serving = [r for r in serving if r.region in regions] or serving
        selected = [record for record in serving if record.zone == zone]
        if len(selected) < MIN_ADDRESS_COUNT:
            selected = [record for record in serving if record.region == region]
        if len(selected) < MIN_ADDRESS_COUNT:
            selected = serving
        addresses = [record.address for record in selected]
        if len(addresses) > MAX_ADDRESS_COUNT:
            addresses = random_source.sample(addresses, MAX_ADDRESS_COUNT)
        return addresses
