"""Shares the few requests that a cold engine bears among all entries.

An engine that has just started is cold for some seconds and crashes if it gets many
requests. This answers the load of a zone whose engines come back together in the midst
of a burst, with up to hundreds of entries that each see the same free engine.

No entry coordinates the others. For each cold engine, every entry ranks the entries of
the engine's zone by rendezvous hashing. Only the first ones send to the engine, each
about one request a second. Entries that know different lists of entries disagree about
some of the senders; their number keeps a margin to the bound for that.
"""

from collections.abc import Sequence
from typing import NamedTuple

from toucanspread.core import data, rendezvous
from toucanspread.core.entry import entry_directory

SENDER_INTERVAL_S = 1.02  # keeps a second request of a sender out of any second
# Rate of all senders together, as a part of what the engine bears. Only requests that
# can't go elsewhere use all of it.
RATE_FACTOR = 1.25
# Part of the bound that is used if all entries know the same list. If each entry lacks
# three in ten of the others, nearly half as many more count themselves as senders.
BOUND_PART = 0.55
# A request that was assigned earlier is not sent any more: those of several seconds
# could reach the engine together, as when connections to it open at last.
MAX_ASSIGNED_AGE_S = 0.3
# An entry that has just started doesn't know the others yet. It assumes that there are
# as many as in the largest deployments.
ASSUMED_ENTRY_COUNT = 350
SETTLE_S = 2.0
HASH_RANGE = 2**64


class ColdBound(NamedTuple):
    """The platform's bound on the requests that a cold engine gets in any second.

    It is ``factor`` times the declared rate, and ``extra_count`` requests more.
    """

    factor: float = 1.0
    extra_count: float = 0.0


class SenderSelector:
    """Tells to which cold engines this entry may send.

    :param name: of this entry.
    :param bound: on the requests of all entries.
    :param entries: all entries that serve callers, as far as they are known.
    :param is_settled: whether this entry has known the others for a while.
    """

    def __init__(
        self,
        name: str,
        bound: ColdBound,
        entries: Sequence[entry_directory.EntryRecord],
        is_settled: bool,
    ):
        self._name = name
        self._bound = bound
        self._entries = entries
        self._is_settled = is_settled
        self._decisions: dict[tuple[str, float], bool] = {}

    def is_sender(self, engine_id: str, zone: data.ZoneName, cold_per_s: float) -> bool:
        """Return whether this entry may send to a cold engine.

        :param zone: of the engine.
        :param cold_per_s: requests per second that the engine bears while it is cold.
        """
        key = (engine_id, cold_per_s)
        if key not in self._decisions:
            self._decisions[key] = self._decide(engine_id, zone, cold_per_s)
        return self._decisions[key]

    def compute_interval_s(self, cold_per_s: float) -> float:
        """Return the least time between two requests of this entry to an engine."""
        count = count_senders(cold_per_s, self._bound)
        return max(count / (RATE_FACTOR * cold_per_s), 1.0) * SENDER_INTERVAL_S

    def _decide(self, engine_id: str, zone: data.ZoneName, cold_per_s: float) -> bool:
        count = count_senders(cold_per_s, self._bound)
        if not self._is_settled:
            weight = rendezvous.compute_weight(engine_id, self._name)
            return weight < HASH_RANGE * count // ASSUMED_ENTRY_COUNT
        names = [entry.name for entry in self._entries if entry.zone == zone]
        if len(names) < count:
            names = [entry.name for entry in self._entries]
        return self._name in rendezvous.rank(engine_id, names)[:count]


class KnownSenders:
    """Keeps the selector for the list of entries that is known now.

    :param name: of this entry.
    :param bound: on the requests of all entries.
    """

    def __init__(
        self, name: str, bound: ColdBound, directory: entry_directory.EntryDirectory
    ):
        self._name = name
        self._bound = bound
        self._directory = directory
        self._listed_since_s: float | None = None
        self._has_predecessor = False
        self._key: tuple[int, bool] | None = None
        self._selector = SenderSelector(name, bound, (), is_settled=False)

    def record_predecessor(self) -> None:
        """Record that the store still has the record of an earlier process.

        The records of the other entries that were there before are then valid, too,
        also if all of them have been restarted at the same time.
        """
        self._has_predecessor = True

    def select(self, now_s: float) -> SenderSelector:
        """Return what tells to which cold engines this entry may send now."""
        key = (self._directory.change_count, self._is_settled(now_s))
        if key != self._key:
            self._key = key
            self._selector = SenderSelector(
                self._name, self._bound, self._directory.serving(), key[1]
            )
        return self._selector

    def _is_settled(self, now_s: float) -> bool:
        """Return whether entries that started together know each other by now.

        An entry that sees its own record in its copy of the store also sees those that
        were written before.
        """
        if self._has_predecessor:
            return True
        if self._listed_since_s is None and self._directory.has(self._name):
            self._listed_since_s = now_s
        if self._listed_since_s is None:
            return False
        return now_s - self._listed_since_s >= SETTLE_S


class ColdStart:
    """The cold time of one incarnation of an engine, as far as this entry knows.

    :ivar until_s: time at which it ends.
    """

    def __init__(self):
        self.until_s = float("-inf")
        self._next_send_s = float("-inf")

    def record_left(self, left_s: float, now_s: float) -> None:
        """Apply how much longer the engine says that it is cold."""
        if left_s > 0:
            self.until_s = max(self.until_s, now_s + left_s)

    def wait_s(self, now_s: float) -> float:
        """Return the time until this entry may send the next request; 0 if now."""
        return max(self._next_send_s - now_s, 0.0)

    def record_dispatch(self, interval_s: float, now_s: float) -> None:
        """Record a request that this entry sends to the cold engine.

        :param interval_s: least time until the next one.
        """
        self._next_send_s = now_s + interval_s


def estimate_queue_wait_s(
    first_wait_s: float, queued_count: float, engine_count: int, interval_s: float
) -> float:
    """Return how long a request waits for its turn at cold engines.

    :param first_wait_s: time until the first of them may get a request.
    :param queued_count: requests of this entry that wait before it.
    :param engine_count: cold engines that this entry sends to.
    :param interval_s: least time between two requests to one of them.
    """
    if engine_count == 0:
        return float("inf")
    return first_wait_s + queued_count * interval_s / engine_count


def count_senders(cold_per_s: float, bound: ColdBound) -> int:
    """Return how many entries send to a cold engine.

    :param cold_per_s: requests per second that the engine bears while it is cold.
    """
    bound_count = cold_per_s * bound.factor + bound.extra_count
    return max(int(min(RATE_FACTOR * cold_per_s, BOUND_PART * bound_count)), 1)
