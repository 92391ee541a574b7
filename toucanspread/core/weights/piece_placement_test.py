"""The placement of pieces on entries."""

import testtools

from toucanspread.core import data
from toucanspread.core.entry import entry_directory
from toucanspread.core.weights import piece_placement


def make_record(name, region):
    return entry_directory.EntryRecord(
        name, region, region, f"{name}:1", f"{name}:2", ""
    )


ENTRIES = [make_record(f"{r}-{n}", r) for r in ("r1", "r2") for n in range(4)]
KEYS = [
    piece_placement.PieceKey(data.ModelName("m"), 2, number) for number in range(48)
]


class PiecePlacementTest(testtools.TestCase):
    def test_exactly_one_entry_fetches_a_piece_from_the_origin(self):
        for key in KEYS:
            askers = [
                e
                for e in ENTRIES
                if piece_placement.find_upstream(key, ENTRIES, e.name)
            ]
            self.assertEqual(len(ENTRIES) - 1, len(askers))

    def test_owners_are_in_the_region_of_the_origin(self):
        """Otherwise a piece would cross between the regions twice."""
        for key in KEYS:
            owner = piece_placement.rank_owners(key, ENTRIES, origin_region="r2")[0]
            self.assertEqual("r2", owner.region)
            self.assertIsNone(
                piece_placement.find_upstream(key, ENTRIES, owner.name, "r2")
            )
            self.assertTrue(piece_placement.is_kept_by(key, ENTRIES, owner.name))

    def test_other_entries_own_pieces_if_none_is_in_the_origins_region(self):
        owner = piece_placement.rank_owners(KEYS[0], ENTRIES, origin_region="r9")[0]
        self.assertEqual(piece_placement.rank_owners(KEYS[0], ENTRIES)[0], owner)

    def test_entries_of_the_own_region_rank_first(self):
        for key in KEYS:
            ranked = piece_placement.rank_holders(key, ENTRIES, "r2")
            self.assertEqual(["r2"] * 4, [entry.region for entry in ranked[:4]])
            self.assertEqual(len(ENTRIES), len(ranked))

    def test_unresponsive_entries_rank_last(self):
        unresponsive = frozenset({"r2-0", "r2-1"})
        for key in KEYS:
            ranked_names = [
                e.name
                for e in piece_placement.rank_holders(key, ENTRIES, "r2", unresponsive)
            ]
            self.assertEqual(unresponsive, set(ranked_names[-2:]))
            self.assertEqual({"r2-2", "r2-3"}, set(ranked_names[:2]))

    def test_removal_of_an_entry_moves_only_its_own_pieces(self):
        remaining = ENTRIES[1:]
        for key in KEYS:
            before = piece_placement.rank_owners(key, ENTRIES)[0]
            if before is not ENTRIES[0]:
                self.assertEqual(before, piece_placement.rank_owners(key, remaining)[0])
