"""Tests of staging pieces at an engine across restarts of the driver process."""

import asyncio
import hashlib

import msgspec
import testtools
from twisted.internet import task

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import entry_directory
from toucanspread.core.weights import staging, staging_events
from toucanspread.ops.http import http1_pool
from toucanspread.ops.pieces import engine_control, piece_cache, staging_driver

PROFILE = entry_data.ModelProfile(data.ModelName("m"), 2, 4, 7, 0.1)
BYTES = [b"piece %d" % number for number in range(4)]
UNREACHABLE = "dead:2"  # address that never answers a request for a manifest
DIGESTS = tuple(hashlib.sha256(piece).hexdigest() for piece in BYTES)


class Engine(engine_control.EngineControl):
    def __init__(self):
        self.staged = {}
        self.version = 0
        self.orders = 0

    async def read_report(self):
        loaded = ()
        if self.version:
            loaded = (entry_data.LoadedLayers(PROFILE.model, self.version, 0, 2),)
        return entry_data.EngineReport(loaded, False, self.orders, 0, 0, 1.0, 1)

    async def list_pieces(self, model):
        return sorted(self.staged)

    async def get_piece(self, model, number):
        return self.staged.get(number)

    async def put_piece(self, model, number, piece):
        self.staged[number] = piece

    async def send_order(self, model, order):
        if [self.staged.get(number) for number in range(4)] != BYTES:
            raise AssertionError(f"ordered with {self.staged}")
        self.orders += 1
        self.version = order.version
        return True


class Pool(http1_pool.ConnectionPool):
    """An entry that holds all pieces and serves a limited number of them."""

    def __init__(self):
        super().__init__(task.Clock())
        self.remaining_count = 1_000
        self.unexpected_errors = []
        self.refusing_addresses = set()
        self.refused_calls = []
        self.unreachable_call_count = 0
        self.pending_manifest_count = 0
        self.max_pending_manifest_count = 0

    async def call(
        self,
        address,
        head,
        body=b"",
        timeout_s=1.0,
        max_body_bytes=0,
        matcher=None,
    ):
        target, _, query = head.target.decode().partition("?")
        if target in self.unexpected_errors:
            self.unexpected_errors.remove(target)
            raise ValueError("unexpected")
        if address == UNREACHABLE and target == piece_cache.MANIFEST_TARGET:
            await self._wait_for_ever()
        if address == UNREACHABLE:
            self.unreachable_call_count += 1
            raise http1_pool.CallError(None, "not connected")
        if target == piece_cache.MANIFEST_TARGET:
            return http1_pool.Reply(200, None, msgspec.msgpack.encode(DIGESTS))
        if address in self.refusing_addresses:
            self.refused_calls.append((self.reactor.seconds(), query))
            return http1_pool.Reply(503, None, b"")
        if self.remaining_count == 0:
            raise http1_pool.CallError(None, "silent")
        self.remaining_count -= 1
        parameters = dict(item.split("=") for item in query.split("&"))
        return http1_pool.Reply(200, None, BYTES[int(parameters["number"])])

    async def _wait_for_ever(self):
        self.pending_manifest_count += 1
        self.max_pending_manifest_count = max(
            self.max_pending_manifest_count, self.pending_manifest_count
        )
        try:
            await asyncio.Event().wait()
        finally:
            self.pending_manifest_count -= 1


def make_record(name, control):
    return entry_directory.EntryRecord(
        name, "z", "r", f"{name}:1", control, f"{name}:3"
    )


class Sender:
    def __init__(self):
        self.loads = []

    def send(self, load):
        self.loads.append(load)


class StagingDriverTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(staging_driver.loop, "spawn", asyncio.ensure_future)
        self.patch(staging_driver, "REPORT_INTERVAL_S", 0.0)
        self.engine = Engine()
        self.pool = Pool()
        self.entries = [make_record("e", "e:2")]
        self.sender = Sender()
        self.exchange_delay_s = 0.0

    def make_driver(self):
        return staging_driver.StagingDriver(
            staging.Stager(PROFILE, 0.1),
            self.engine,
            data.Address("a:1"),
            self.pool,
            lambda: self.entries,
            "r",
            self.sender,
            lambda: self.exchange_delay_s,
            part_bytes=3,
        )

    def run_process(self, turns=200):
        """Run a driver process for some turns of the event loop, then end it."""

        async def run_driver():
            driver = self.make_driver()
            driver_task = asyncio.ensure_future(driver.run())
            for _ in range(turns):
                self.pool.reactor.advance(0.01)
                await asyncio.sleep(0)
            driver_task.cancel()

        asyncio.run(run_driver())

    def test_a_link_that_holds_bytes_up_does_not_stay_unseen(self):
        events = []
        self.patch(staging_driver.logs, "write", lambda name, **_: events.append(name))
        driver = self.make_driver()
        for delay_s in (0.2, 0.35, 0.4, 0.7, 0.0):
            driver._log_link_delay(delay_s)
        self.assertEqual(["link_delay"] * 3, events)

    def test_entries_learn_for_how_long_bytes_to_the_engine_are_held(self):
        self.pool.remaining_count = 0
        self.exchange_delay_s = 0.42
        self.run_process(turns=5)
        delays_s = {load.link_delay_s for load in self.sender.loads}
        self.assertEqual({0.5}, delays_s)

    def test_empty_engine_gets_the_version(self):
        self.run_process()
        self.assertEqual(1, self.engine.version)

    def test_pieces_fetched_before_a_restart_are_not_fetched_again(self):
        self.pool.remaining_count = 3
        self.run_process()
        self.assertEqual(3, len(self.engine.staged))
        self.pool.remaining_count = 1
        self.run_process()
        self.assertEqual(1, self.engine.version)

    def test_an_unexpected_exception_does_not_stop_the_staging_for_good(self):
        targets = [piece_cache.MANIFEST_TARGET, piece_cache.PIECE_TARGET]
        self.pool.unexpected_errors = targets
        self.run_process()
        self.assertEqual([], self.pool.unexpected_errors)
        self.assertEqual(1, self.engine.version)

    def test_silent_entry_does_not_delay_the_manifest(self):
        self.patch(staging_driver, "NEXT_HOLDER_DELAY_S", 0.0)
        self.entries += [make_record(f"x{number}", UNREACHABLE) for number in range(5)]
        self.run_process()
        self.assertEqual(1, self.engine.version)

    def test_slow_entries_are_not_all_requested_for_the_manifest_at_once(self):
        self.patch(staging_driver, "NEXT_HOLDER_DELAY_S", 0.0)
        self.entries = [make_record(f"x{number}", UNREACHABLE) for number in range(70)]
        self.run_process()
        limit = staging_driver.MAX_PENDING_MANIFEST_REQUESTS
        self.assertEqual(limit, self.pool.max_pending_manifest_count)

    def test_requests_for_a_manifest_end_when_nobody_waits_for_it_any_more(self):
        self.patch(staging_driver, "NEXT_HOLDER_DELAY_S", 0.0)
        self.entries = [make_record(f"x{number}", UNREACHABLE) for number in range(5)]
        driver = self.make_driver()

        async def cancel_read():
            effect = staging_events.ReadDigests(2)
            reading = asyncio.ensure_future(driver._read_digests(effect))
            while self.pool.pending_manifest_count < 5:
                await asyncio.sleep(0)
            reading.cancel()
            for _ in range(5):
                await asyncio.sleep(0)
            return self.pool.pending_manifest_count

        self.assertEqual(0, asyncio.run(cancel_read()))

    def test_unreachable_entry_is_not_requested_for_each_piece(self):
        self.patch(staging_driver, "NEXT_HOLDER_DELAY_S", 0.0)
        self.entries += [make_record(f"x{number}", UNREACHABLE) for number in range(5)]
        self.run_process()
        self.assertEqual(1, self.engine.version)
        self.assertLessEqual(self.pool.unreachable_call_count, 5)

    def test_a_piece_that_nobody_has_is_not_sought_at_one_holder_after_the_other(self):
        self.entries = [make_record(f"e{n}", f"e{n}:2") for n in range(6)]
        self.pool.refusing_addresses = {f"e{n}:2" for n in range(6)}
        self.run_process(turns=10)
        self.assertNotEqual([], self.pool.refused_calls)
        queries = [query for _, query in self.pool.refused_calls]
        self.assertEqual(len(set(queries)), len(queries))

    def test_a_holder_that_cannot_obtain_a_piece_is_not_the_only_one_that_is_asked(
        self,
    ):
        self.entries = [make_record(f"e{n}", f"e{n}:2") for n in range(6)]
        self.pool.refusing_addresses = {"e1:2", "e2:2"}
        self.run_process()
        self.assertEqual(1, self.engine.version)

    def test_entries_learn_when_an_empty_engine_will_have_its_weights(self):
        self.run_process()
        self.assertEqual(1, self.engine.version)
        coming = [load for load in self.sender.loads if load.coming_in_s is not None]
        self.assertEqual({1}, {load.coming_version for load in coming})
        self.assertEqual(0, self.sender.loads[-1].coming_version)

    def test_corrupt_staged_piece_is_replaced_before_the_order(self):
        self.engine.staged = {0: b"corrupt", 1: BYTES[1], 2: BYTES[2], 3: BYTES[3]}
        self.pool.remaining_count = 1
        self.run_process()
        self.assertEqual(1, self.engine.version)
