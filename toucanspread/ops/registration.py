"""Keeps an entry's record in the store while the process runs."""

import asyncio

from toucanspread.core.entry import entry_directory
from toucanspread.core.view import store_position
from toucanspread.ops.copies import prefix_store
from toucanspread.ops.telemetry import logs

LEASE_TTL_S = 4.0  # longest time that a dead entry stays listed
RENEW_INTERVAL_S = 1.3  # two renewals may be lost within the TTL
RETRY_DELAY_S = 0.3


class Registration:
    """The record of an entry and the lease that it is written under."""

    def __init__(
        self, store: prefix_store.PrefixStore, record: entry_directory.EntryRecord
    ):
        self.record = record
        self._store = store
        self._lease: prefix_store.LeaseId | None = None
        self._written_record: entry_directory.EntryRecord | None = None
        self._written_era = store_position.UNKNOWN_ERA
        self._is_failing = False
        self._has_ended = False

    @property
    def has_written(self) -> bool:
        """Return whether this process has written the record."""
        return self._written_record is not None

    async def run(self) -> None:
        """Write the record, then renew its lease until it is ended or cancelled."""
        while not self._has_ended:
            try:
                await self._refresh()
            except prefix_store.LeaseEndedError:
                logs.write("lease_ended", lease=self._lease)
                self._lease = None
                self._written_record = None
                continue
            except prefix_store.StoreError as error:
                if not self._is_failing:
                    logs.write("registration_failed", why=str(error))
                self._is_failing = True
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if self._is_failing:
                logs.write("registration_regained", lease=self._lease)
            self._is_failing = False
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def update_record(self, record: entry_directory.EntryRecord) -> None:
        """Replace the record; after a failure, the next renewal writes it."""
        self.record = record
        if self._lease is None:
            return
        try:
            await self._write()
        except prefix_store.StoreError as error:
            logs.write("registration_failed", why=str(error))

    async def deregister(self) -> None:
        """End the lease, which deletes the record at once; it isn't written again."""
        self._has_ended = True
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            await self._store.revoke_lease(lease)
        except prefix_store.StoreError as error:
            logs.write("lease_not_ended", lease=lease, why=str(error))

    async def _refresh(self) -> None:
        if self._lease is None:
            self._lease = await self._store.grant_lease(LEASE_TTL_S)
        elif self._written_record == self.record:
            await self._store.renew_lease(self._lease)
            if self._store.era == self._written_era:
                return
        # Without the record, or after the store has returned from an older copy.
        await self._write()

    async def _write(self) -> None:
        record = self.record
        key = entry_directory.RECORDS_PREFIX + record.name
        await self._store.put(key, entry_directory.encode_record(record), self._lease)
        self._written_record = record
        self._written_era = self._store.era
