"""Rendezvous hashing: every process ranks the same candidates in the same order.

A candidate that goes away moves only the keys that ranked it first; the order of the
others stays as it was.
"""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

Candidate = TypeVar("Candidate", bound=str)


def weight(key: str, candidate: str) -> int:
    """Return the weight of ``candidate`` for ``key``, the same in every process."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode())


def rank(key: str, candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates, the heaviest for ``key`` first."""
    weighted = [(weight(key, candidate), candidate) for candidate in candidates]
    weighted.sort(reverse=True)
    return [candidate for _, candidate in weighted]
