"""Tests that an entry's record stays in the store."""

import asyncio

import testtools

from toucanspread.core.entry import entry_directory
from toucanspread.ops import registration
from toucanspread.ops.copies import prefix_store

RECORD = entry_directory.EntryRecord("e", "z", "r", "h:1", "h:2", "h:3")
KEY = entry_directory.RECORDS_PREFIX + RECORD.name


class Store(prefix_store.PrefixStore):
    """Holds keys under leases; it can return from an older copy."""

    def __init__(self):
        self.era = 1
        self.keys = {}
        self.leases = set()
        self.renewals = 0

    def return_from_copy(self, keeps_leases):
        self.era += 1
        self.keys.clear()
        if not keeps_leases:
            self.leases.clear()

    async def read_all(self, prefix):
        raise NotImplementedError

    async def watch(self, prefix, after, wait_s, max_bytes=None):
        raise NotImplementedError

    async def put(self, key, value, lease):
        self._check(lease)
        self.keys[key] = value
        return 1

    async def grant_lease(self, ttl_s):
        lease = len(self.leases) + 10 * self.era
        self.leases.add(lease)
        return lease

    async def renew_lease(self, lease):
        self._check(lease)
        self.renewals += 1

    async def revoke_lease(self, lease):
        raise NotImplementedError

    def _check(self, lease):
        if lease not in self.leases:
            raise prefix_store.LeaseEndedError(f"lease {lease}")


class RegistrationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(registration, "RENEW_INTERVAL_S", 0.0)
        self.store = Store()
        self.registration = registration.Registration(self.store, RECORD)

    def run_for(self, turns=20):
        """Run the registration for some turns of the event loop."""

        async def run():
            running = asyncio.ensure_future(self.registration.run())
            for _ in range(turns):
                await asyncio.sleep(0)
            running.cancel()

        asyncio.run(run())

    def test_the_record_is_written_once_and_its_lease_renewed(self):
        self.run_for()
        self.assertIn(KEY, self.store.keys)
        self.assertGreater(self.store.renewals, 2)
        del self.store.keys[KEY]
        self.run_for()
        self.assertEqual({}, self.store.keys)

    def test_a_record_that_the_store_has_lost_is_written_again(self):
        for keeps_leases in (True, False):
            self.run_for()
            self.store.return_from_copy(keeps_leases)
            self.run_for()
            self.assertIn(KEY, self.store.keys, keeps_leases)
