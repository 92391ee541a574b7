"""Entries that know the same do not all send to the same engine."""

import collections
import random

import testtools

from toucanspread.core.entry import engine_draw


def make_candidates(shared_s=(), exact_s=()):
    """Return candidates named by their scores."""
    shared = [engine_draw.Candidate(f"shared {s}", s, False) for s in shared_s]
    return shared + [engine_draw.Candidate(f"exact {s}", s, True) for s in exact_s]


def count_draws(candidates, unseen_work_s, draw_count=4_000):
    random_source = random.Random(5)
    return collections.Counter(
        engine_draw.draw(candidates, unseen_work_s, random_source)
        for _ in range(draw_count)
    )


class EngineDrawTest(testtools.TestCase):
    def test_an_engine_that_has_just_loaded_does_not_get_all_requests(self):
        busy_s = [0.2 + 0.001 * number for number in range(9)]
        counts = count_draws(make_candidates([0.0, *busy_s]), unseen_work_s=1.2)
        self.assertLess(counts["shared 0.0"], 0.35 * 4_000)
        self.assertEqual(10, len(counts))
        self.assertEqual("shared 0.0", counts.most_common(1)[0][0])

    def test_all_entries_together_fill_an_engine_up_to_the_next_best(self):
        for entry_count in (18, 100, 350):
            unseen_work_s = entry_count * 0.07
            counts = count_draws(make_candidates([0.0], [0.35]), unseen_work_s)
            share = counts["shared 0.0"] / 4_000
            self.assertAlmostEqual(0.35, share * unseen_work_s, delta=0.12)

    def test_an_engine_of_the_own_zone_that_is_best_gets_every_request(self):
        counts = count_draws(make_candidates([0.05, 0.06], [0.04, 0.3]), 5.0)
        self.assertEqual({"exact 0.04": 4_000}, dict(counts))

    def test_engines_of_other_zones_are_left_out_while_they_are_worse(self):
        counts = count_draws(make_candidates([0.0, 0.4], [0.1]), unseen_work_s=0.2)
        self.assertNotIn("shared 0.4", counts)
        self.assertAlmostEqual(2_000, counts["shared 0.0"], delta=150)

    def test_a_single_entry_takes_the_best_engine(self):
        counts = count_draws(make_candidates([0.2, 0.1], [0.3]), unseen_work_s=0.0)
        self.assertEqual({"shared 0.1": 4_000}, dict(counts))

    def test_an_engine_is_always_found_if_there_is_one(self):
        self.assertIsNone(engine_draw.draw([], 1.0, random.Random(1)))
        for seed in range(300):
            random_source = random.Random(seed)
            shared_s = [random_source.random() * 100 for _ in range(seed % 4)]
            exact_s = [random_source.random() for _ in range(seed % 3)]
            candidates = make_candidates(shared_s, exact_s)
            work_s = random_source.choice([0.0, 1e-9, 0.1, 1e6])
            drawn = engine_draw.draw(candidates, work_s, random_source)
            self.assertEqual(bool(candidates), drawn is not None)
