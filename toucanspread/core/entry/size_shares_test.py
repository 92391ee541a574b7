"""Tests that the largest requests of a route are known, and when they are behind."""

import random

import testtools

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import request_timing, size_shares

# All sizes from 1 to 100 twice, in any order.
SIZES = random.Random(1).sample(list(range(1, 101)) * 2, 200)
SERVICE = entry_data.Service(data.ServiceName("pool"), None)


def make_timing(prompt_tokens, arrived_s=0.0, route="r"):
    """Return the timing of a request."""
    kind = entry_data.RequestKind.STREAMING
    shares = (entry_data.Share(SERVICE.name, 1.0),)
    return request_timing.RequestTiming(
        entry_data.Route(route, "h", "/", kind, 6.0, 0.5, 1, shares, 2),
        SERVICE,
        entry_data.Call("id", "h", "/", None, prompt_tokens=prompt_tokens),
        arrived_s,
    )


class SizeSharesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.shares = size_shares.SizeShares()

    def record(self, sizes, begun_limit, arrived_s=0.0):
        """Record arrivals, of which those up to a size begin."""
        for size in sizes:
            timing = make_timing(size, arrived_s)
            self.shares.record_arrival(timing)
            if size <= begun_limit:
                self.shares.record_begin(timing)

    def is_behind(self, prompt_tokens, route="r"):
        return self.shares.is_behind(make_timing(prompt_tokens, route=route))

    def test_the_largest_are_behind_if_only_smaller_ones_begin(self):
        self.record(SIZES, begun_limit=90)
        self.assertTrue(self.is_behind(99))
        self.assertFalse(self.is_behind(80))
        self.assertFalse(self.is_behind(10))

    def test_the_fifth_below_is_behind_if_only_smaller_ones_begin(self):
        self.record(SIZES, begun_limit=70)
        self.assertTrue(self.is_behind(80))

    def test_no_size_is_behind_if_all_begin(self):
        self.record(SIZES, begun_limit=100)
        self.assertFalse(any(self.is_behind(size) for size in range(1, 101)))

    def test_no_size_is_behind_if_none_begins(self):
        self.record(SIZES, begun_limit=0)
        self.assertFalse(any(self.is_behind(size) for size in range(1, 101)))

    def test_the_largest_are_not_behind_once_enough_of_them_have_begun(self):
        self.record(SIZES, begun_limit=90)
        begun_count = 0
        while self.is_behind(99):
            self.shares.record_begin(make_timing(99))
            begun_count += 1
        self.assertGreaterEqual(begun_count, 0.5 * 0.9 * 20)
        self.assertLess(begun_count, 0.9 * 20)

    def test_sizes_are_unknown_after_few_requests(self):
        self.record([1, 2, 3, 1000], begun_limit=3)
        self.assertFalse(self.is_behind(1000))

    def test_equal_sizes_are_behind_together_or_not_at_all(self):
        self.record([500] * 50, begun_limit=500)
        self.assertFalse(self.is_behind(500))

    def test_what_was_long_ago_does_not_count(self):
        self.record(SIZES, begun_limit=90)
        later_s = 10 * size_shares.HALF_LIFE_S
        self.record(SIZES, begun_limit=100, arrived_s=later_s)
        self.assertFalse(self.is_behind(99))

    def test_routes_are_counted_by_themselves(self):
        self.record(SIZES, begun_limit=90)
        self.assertFalse(self.is_behind(99, route="other"))

    def test_old_routes_are_forgotten(self):
        self.record(SIZES, begun_limit=90)
        for number in range(size_shares.MAX_ROUTE_COUNT):
            self.shares.record_arrival(make_timing(1, route=f"new-{number}"))
        self.assertFalse(self.is_behind(99))
