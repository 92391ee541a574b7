"""Keeps an entry's record in the store for as long as the process lives."""

import asyncio

from toucanspread.core.entry import entry_directory
from toucanspread.ops import logs, prefix_store

LEASE_TTL_S = 4.0  # a dead entry is listed no longer than this
RENEW_INTERVAL_S = 1.3  # two renewals may be lost
RETRY_DELAY_S = 0.3


class Registration:
    """The record, and the lease that it ends with."""

    def __init__(
        self, store: prefix_store.PrefixStore, record: entry_directory.EntryRecord
    ):
        self.record = record
        self._store = store
        self._lease: prefix_store.LeaseId | None = None
        self._written: entry_directory.EntryRecord | None = None
        self._failing = False

    async def run(self) -> None:
        """Write the record, then renew its lease until cancelled."""
        while True:
            try:
                await self._refresh()
            except prefix_store.LeaseEndedError:
                logs.write("lease_ended", lease=self._lease)
                self._lease = None
                self._written = None
                continue
            except prefix_store.StoreError as error:
                if not self._failing:
                    logs.write("registration_failed", why=str(error))
                self._failing = True
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if self._failing:
                logs.write("registration_regained", lease=self._lease)
            self._failing = False
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def update_record(self, record: entry_directory.EntryRecord) -> None:
        """Write another record; a failure leaves it to the next renewal."""
        self.record = record
        if self._lease is None:
            return
        try:
            await self._write()
        except prefix_store.StoreError as error:
            logs.write("registration_failed", why=str(error))

    async def deregister(self) -> None:
        """End the lease, so that the record goes at once."""
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
        elif self._written == self.record:
            await self._store.renew_lease(self._lease)
            return
        await self._write()

    async def _write(self) -> None:
        record = self.record
        key = entry_directory.RECORDS_PREFIX + record.name
        await self._store.put(key, entry_directory.encode_record(record), self._lease)
        self._written = record
