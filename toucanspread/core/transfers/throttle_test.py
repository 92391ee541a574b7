import testtools
from hypothesis import given
from hypothesis import strategies as st

from toucanspread.core.transfers import throttle


def run_interval(limiter, unit_s, is_transferring, sample_count=8):
    for _ in range(sample_count):
        limiter.record_request(unit_s)
    limiter.end_interval(is_transferring)
    return limiter.rate_share


class ThrottleTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.throttle = throttle.Throttle()
        run_interval(self.throttle, 0.01, is_transferring=False)

    def test_slow_requests_halve_the_share_down_to_the_minimum(self):
        shares = [
            run_interval(self.throttle, 0.05, is_transferring=True) for _ in range(5)
        ]
        self.assertEqual([0.5, 0.25, 0.25, 0.25, 0.25], shares)

    def test_requests_at_baseline_restore_the_share(self):
        run_interval(self.throttle, 0.05, is_transferring=True)
        shares = [
            run_interval(self.throttle, 0.01, is_transferring=True) for _ in range(6)
        ]
        self.assertEqual(1.0, shares[-1])
        self.assertEqual(sorted(shares), shares)

    def test_share_is_full_without_requests(self):
        self.assertEqual(
            1.0, run_interval(self.throttle, 0.0, is_transferring=True, sample_count=0)
        )

    @given(st.lists(st.tuples(st.floats(0.0001, 10), st.booleans())))
    def test_share_stays_within_bounds(self, intervals):
        for unit_s, is_transferring in intervals:
            rate_share = run_interval(self.throttle, unit_s, is_transferring)
            self.assertTrue(throttle.MIN_RATE_SHARE <= rate_share <= 1)
