"""The version that can be complete in time is fetched first."""

import testtools

from toucanspread.core.weights import version_order

PIECE_S = 0.045
LOAD_S = 1.0


def is_older_first(now_s, missing_count, newer_count=96, was_newer_first=False):
    """Return the decision; the versions are due at 31 s and 33 s."""
    return version_order.is_older_first(
        now_s,
        version_order.VersionProgress(missing_count, 31.0),
        version_order.VersionProgress(newer_count, 33.0),
        PIECE_S,
        LOAD_S,
        was_newer_first,
    )


class OrderTest(testtools.TestCase):
    def test_an_older_version_in_time_is_not_given_up_for_one_that_comes_later(self):
        self.assertTrue(is_older_first(26.5, 50))

    def test_an_older_version_is_not_kept_if_it_makes_the_newer_one_late(self):
        self.assertFalse(is_older_first(25.5, 96))

    def test_both_are_loaded_if_both_can_be_in_time(self):
        self.assertTrue(is_older_first(20.5, 50))

    def test_the_first_pieces_of_a_newer_version_do_not_bring_the_older_one_back(self):
        self.assertFalse(is_older_first(25.0, 50, 80, was_newer_first=True))

    def test_an_older_version_that_is_almost_whole_is_completed_late(self):
        self.assertTrue(is_older_first(30.0, 5))

    def test_an_older_version_that_would_be_of_no_use_is_not_completed(self):
        self.assertFalse(is_older_first(29.0, 80))
        self.assertFalse(is_older_first(33.0, 5))


class PlanTest(testtools.TestCase):
    def plan(self, *missing):
        return [
            (fetch.version, fetch.number, round(fetch.delay_s, 3))
            for fetch in version_order.plan_fetches(missing, 0.1)
        ]

    def test_a_new_version_saturates_the_link_from_its_first_piece_on(self):
        pieces = version_order.MissingPieces(2, (7, 3), 10, 0.0)
        self.assertEqual([(2, 3, 0.3), (2, 7, 0.7)], self.plan(pieces))

    def test_a_second_version_waits_until_the_first_one_has_passed_the_link(self):
        first = version_order.MissingPieces(2, (7, 9), 10, 6.0)
        second = version_order.MissingPieces(3, (1,), 10, 0.0)
        self.assertEqual(
            [(2, 7, 0.1), (2, 9, 0.3), (3, 1, 0.5)], self.plan(first, second)
        )

    def test_pieces_that_were_passed_over_are_requested_at_once(self):
        pieces = version_order.MissingPieces(2, (2, 8), 10, 6.0)
        self.assertEqual([(2, 2, 0.0), (2, 8, 0.2)], self.plan(pieces))

    def test_the_position_lies_between_the_pieces_on_both_sides_of_the_outage(self):
        self.assertEqual(5.5, version_order.estimate_position((8, 9), (0, 2), 10))
