"""Rendezvous hashing: every process ranks the same candidates in the same order.

The removal of a candidate moves only the keys for which it ranked first; the order of
the other candidates does not change.
"""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

Candidate = TypeVar("Candidate", bound=str)


def compute_weight(key: str, candidate: str) -> int:
    """Return the weight of a candidate for a key; it is equal in every process."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode())


def rank(key: str, candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates by descending weight for a key."""
    weighted = [(compute_weight(key, candidate), candidate) for candidate in candidates]
    weighted.sort(reverse=True)
    return [candidate for _, candidate in weighted]
