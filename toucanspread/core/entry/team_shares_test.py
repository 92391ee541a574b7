"""Tests that one team with many requests does not crowd out the others."""

import testtools

from toucanspread.core.entry import admission_queue, priority_rules_test, team_shares


class TeamSharesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.shares = team_shares.TeamShares()

    def test_the_team_with_less_recent_work_goes_first_within_a_rank(self):
        """Guards against a large team whose requests always have the most time left."""
        self.shares.record_begin("large", 5_000, 0.0)
        requests = {
            "large": priority_rules_test.Request(1, left_s=0.9),
            "small": priority_rules_test.Request(1, left_s=0.2),
            "urgent": priority_rules_test.Request(0, left_s=0.1),
        }
        self.shares.record_begin("urgent", 50_000, 0.0)
        teams = {request: team for team, request in requests.items()}
        ordered = admission_queue.sort_queue(
            teams,
            0.0,
            priority_rules_test.NOW_S,
            has_priorities=True,
            find_work=lambda request: self.shares.find_step(teams[request], 0.0),
        )
        self.assertEqual(["urgent", "small", "large"], [teams[r] for r in ordered])

    def test_work_fades(self):
        """Guards against a team that is held back for an old burst."""
        self.shares.record_begin("a", 8_000, 0.0)
        self.assertEqual(8, self.shares.find_step("a", 0.0))
        later_s = 10 * team_shares.HALF_LIFE_S
        self.assertEqual(0, self.shares.find_step("a", later_s))

    def test_differences_below_a_prompt_do_not_count(self):
        self.shares.record_begin("a", 700, 0.0)
        self.assertEqual(self.shares.find_step("b", 0.0), self.shares.find_step("a", 0))

    def test_teams_that_were_not_seen_for_long_are_forgotten(self):
        """Guards against memory that grows with the number of teams."""
        self.shares.record_begin("old", 5_000, 0.0)
        for number in range(team_shares.MAX_TEAM_COUNT):
            self.shares.record_begin(f"team-{number}", 1, 0.0)
        self.assertEqual(0, self.shares.find_step("old", 0.0))
