"""Tests that the least urgent rank is not starved."""

import testtools

from toucanspread.core.entry import rank_shares


class RankSharesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.shares = rank_shares.RankShares()
        for _ in range(100):
            self.shares.record_arrival(2, 0.0)

    def test_a_rank_gets_turns_until_its_share_has_begun(self):
        """Guards against a kind that never begins beside more urgent ones."""
        begun_count = 0
        while self.shares.is_behind(2):
            self.shares.record_begin(2)
            begun_count += 1
        self.assertEqual(10, begun_count)

    def test_a_rank_without_requests_is_not_behind(self):
        self.assertFalse(self.shares.is_behind(1))

    def test_what_was_long_ago_does_not_count(self):
        self.shares.record_arrival(2, 20 * rank_shares.HALF_LIFE_S)
        self.assertFalse(self.shares.is_behind(2))
