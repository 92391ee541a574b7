import testtools
from hypothesis import given
from hypothesis import strategies as st

from toucanspread.core.transfers import throttle


def interval(follower, unit_s, is_moving, samples=8):
    for _ in range(samples):
        follower.record_request(unit_s)
    follower.end_interval(is_moving)
    return follower.rate_share


class PaceTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.follower = throttle.Throttle()
        interval(self.follower, 0.01, is_moving=False)

    def test_slow_requests_lower_the_share_to_its_floor(self):
        shares = [interval(self.follower, 0.05, is_moving=True) for _ in range(5)]
        self.assertEqual([0.5, 0.25, 0.25, 0.25, 0.25], shares)

    def test_usual_requests_give_the_link_back(self):
        interval(self.follower, 0.05, is_moving=True)
        shares = [interval(self.follower, 0.01, is_moving=True) for _ in range(6)]
        self.assertEqual(1.0, shares[-1])
        self.assertEqual(sorted(shares), shares)

    def test_no_requests_leave_the_link_to_the_transfer(self):
        self.assertEqual(1.0, interval(self.follower, 0.0, is_moving=True, samples=0))

    @given(st.lists(st.tuples(st.floats(0.0001, 10), st.booleans())))
    def test_the_share_stays_in_bounds(self, intervals):
        for unit_s, is_moving in intervals:
            share = interval(self.follower, unit_s, is_moving)
            self.assertTrue(throttle.MIN_RATE_SHARE <= share <= 1)
