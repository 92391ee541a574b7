"""Every process finds the same owner of a piece."""

import testtools

from toucanspread.core import data
from toucanspread.core.entry import entry_directory
from toucanspread.core.weights import piece_placement


def record(name, region):
    return entry_directory.EntryRecord(
        name, region, region, f"{name}:1", f"{name}:2", ""
    )


ENTRIES = [record(f"{r}-{n}", r) for r in ("r1", "r2") for n in range(4)]
KEYS = [
    piece_placement.PieceKey(data.ModelName("m"), 2, number) for number in range(48)
]


class SourcesTest(testtools.TestCase):
    def test_one_entry_of_all_takes_a_piece_from_the_origin(self):
        for key in KEYS:
            askers = [
                e
                for e in ENTRIES
                if piece_placement.find_upstream(key, ENTRIES, e.name)
            ]
            self.assertEqual(len(ENTRIES) - 1, len(askers))

    def test_owners_are_near_the_origin(self):
        """A piece crosses to the other region once, and not back."""
        for key in KEYS:
            owner = piece_placement.rank_owners(key, ENTRIES, origin_region="r2")[0]
            self.assertEqual("r2", owner.region)
            self.assertIsNone(
                piece_placement.find_upstream(key, ENTRIES, owner.name, "r2")
            )
            self.assertTrue(piece_placement.is_kept_by(key, ENTRIES, owner.name))

    def test_without_entries_near_the_origin_others_own_the_pieces(self):
        owner = piece_placement.rank_owners(KEYS[0], ENTRIES, origin_region="r9")[0]
        self.assertEqual(piece_placement.rank_owners(KEYS[0], ENTRIES)[0], owner)

    def test_a_region_asks_its_own_entries_first(self):
        for key in KEYS:
            found = piece_placement.rank_holders(key, ENTRIES, "r2")
            self.assertEqual(["r2"] * 4, [entry.region for entry in found[:4]])
            self.assertEqual(len(ENTRIES), len(found))

    def test_entries_that_do_not_answer_are_asked_last(self):
        silent = frozenset({"r2-0", "r2-1"})
        for key in KEYS:
            found = [
                e.name for e in piece_placement.rank_holders(key, ENTRIES, "r2", silent)
            ]
            self.assertEqual(silent, set(found[-2:]))
            self.assertEqual({"r2-2", "r2-3"}, set(found[:2]))

    def test_an_entry_that_goes_takes_only_its_pieces_along(self):
        left = ENTRIES[1:]
        for key in KEYS:
            before = piece_placement.rank_owners(key, ENTRIES)[0]
            if before is not ENTRIES[0]:
                self.assertEqual(before, piece_placement.rank_owners(key, left)[0])
