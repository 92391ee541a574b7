"""Selects the source from which a process updates its copy of the store.

Calls to the store are counted and limited, large values load the links between regions,
and the store may refuse some instances while it answers others. One entry of each
availability zone, its leader, therefore follows the store, and the other processes of
the zone follow the leader. If the leader fails, the process that ranks next takes over
and the others follow it, so that the store never sends a change to a whole zone. A
process whose copy is too old asks entries of other zones and the store itself, unless
an answer of the store is arriving at a peer: further answers would slow that one down.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from toucanspread.core import data, rendezvous

STORE_WAIT_S = 0.75  # below 2 s with its grace period and a new connection
STORE_READ_INTERVAL_S = 1.5  # for processes that read the store instead of watching it
PEER_WAIT_S = 0.75
ANSWER_GRACE_S = 0.5  # delay of an answer beyond the requested wait
# Two waits with their answers; a process with an older copy also asks other sources.
MAX_TRUSTED_AGE_S = 2.0
MAX_DIRECT_AGE_S = 1.1  # maximum age of a copy that follows the store directly
FAILED_SOURCE_BACKOFF_S = 1.0
STALE_SOURCE_BACKOFF_S = 0.3  # a source without newer data may get it soon
DEPUTY_COUNT = 3  # entries that may take over while their leader fails
DEPUTY_WAIT_S = 0.5  # for a deputy to notice the failure itself
# If deputies respond but have no newer copy, the path to the store is slow, and more
# processes that ask the store would slow it further.
SLOW_STORE_WAIT_S = 2.0
# Processes that may begin to ask the store within DEPUTY_WAIT_S; all at once would
# saturate the links between regions when a large value changes.
STORE_GROUP_SIZE = 8
FAILURE_MEMORY_S = 3.0  # a source that failed longer ago may have recovered
BATCH_DELAY_S = 0.1  # changes in quick succession are fetched together
RETRY_DELAY_S = 0.15
# A process that needs all items of the store reads them in its turn. Until then it may
# learn that they are arriving at one that ranks before it.
STORE_TURN_S = 0.1
MAX_STORE_TURNS = 10


class SourceKind(enum.Enum):
    """Kind of a source."""

    STORE = "store"
    PEER = "peer"


class Source(NamedTuple):
    """A source for the copy of the store.

    :param address: address of the peer; empty for the store.
    """

    kind: SourceKind
    address: data.Address = data.Address("")


STORE = Source(SourceKind.STORE)


class Peer(NamedTuple):
    """Another entry that can serve its copy."""

    name: str
    zone: data.ZoneName
    address: data.Address


class _Ranking(NamedTuple):
    """All sources, the primary one first.

    :param deputies: the sources that take over if the primary one fails.
    :param own_rank: number of processes of the zone that rank before this one.
    """

    sources: list[Source]
    deputies: list[Source]
    own_rank: int


class SourceSelector:
    """Ranks the sources and backs off from those that failed recently.

    :param name: name of this process, comparable with the names of entries.
    :param can_lead: whether this process may be the one that follows the store
        directly.
    """

    def __init__(self, name: str, zone: data.ZoneName, can_lead: bool):
        self._name = name
        self.zone = zone
        self._can_lead = can_lead
        self._backoff_until_s: dict[Source, float] = {}
        self._unusable_since_s: dict[Source, float] = {}
        self._primary = STORE
        self._failed_s: dict[Source, float] = {}
        self._responding: set[Source] = set()
        self._probe_allowed_s = float("-inf")
        self._verified: Source | None = None
        self._arriving_s: dict[Source, float] = {}
        self._own_rank = 0

    def select_source(
        self,
        peers: list[Peer],
        seeds: list[data.Address],
        now_s: float,
    ) -> Source | None:
        """Return the source to ask next, or None if there is none to ask now.

        A source that did not respond costs the time of a timeout. While another one may
        be asked, such sources are probed only now and then.
        """
        ranking = self._rank_sources(peers, seeds)
        self._primary = ranking.sources[0]
        self._own_rank = ranking.own_rank
        eligible = self._list_eligible(ranking, now_s)
        silent = [source for source in eligible if self._is_silent(source, now_s)]
        sound = [source for source in eligible if source not in silent]
        if sound and (not silent or now_s < self._probe_allowed_s):
            return sound[0]
        if sound:
            return silent[0]
        # The one that failed first has its turn, so that each of them has one.
        return min(silent, key=self._failed_s.get, default=None)

    def list_witnesses(
        self, peers: list[Peer], seeds: list[data.Address], count: int
    ) -> list[data.Address]:
        """Return peers that may know what the store has lost.

        One of another zone is among them if possible: those of a zone that was cut off
        all have older copies.
        """
        same_zone = {p.name: p for p in peers if p.zone == self.zone}
        other_zones = {p.name: p for p in peers if p.zone != self.zone}
        ranked = rendezvous.rank(self.zone, same_zone)
        addresses = [same_zone[name].address for name in ranked]
        others = [
            source.address for source in _rank_leaders_first(self._name, other_zones)
        ]
        addresses[count - 1 : count - 1] = others
        return list(dict.fromkeys([*addresses, *seeds]))[:count]

    def _list_eligible(self, ranking: _Ranking, now_s: float) -> list[Source]:
        may_ask_store = now_s >= self._store_allowed_s(ranking, now_s)
        eligible = []
        for source in self._order_for_store(ranking, may_ask_store):
            if source == STORE and not may_ask_store:
                if self._awaits_deputies(ranking, now_s):
                    break
                continue
            if now_s >= self._backoff_until_s.get(source, now_s):
                eligible.append(source)
        return eligible

    def _order_for_store(
        self, ranking: _Ranking, may_ask_store: bool
    ) -> Iterable[Source]:
        """Return the sources with the store before deputies that may not respond."""
        if not may_ask_store:
            return ranking.sources
        responding = [d for d in ranking.deputies if d in self._responding]
        return dict.fromkeys(
            [ranking.sources[0], *responding, STORE, *ranking.sources[1:]]
        )

    def _is_silent(self, source: Source, now_s: float) -> bool:
        return now_s < self._failed_s.get(source, float("-inf")) + FAILURE_MEMORY_S

    def _rank_sources(self, peers: list[Peer], seeds: list[data.Address]) -> "_Ranking":
        same_zone = {peer.name: peer for peer in peers if peer.zone == self.zone}
        other_zones = {peer.name: peer for peer in peers if peer.zone != self.zone}
        names = set(same_zone)
        if self._can_lead:
            names.add(self._name)
        order = rendezvous.rank(self.zone, names)
        own_rank = order.index(self._name) if self._name in names else len(order)
        zone_sources = [
            Source(SourceKind.PEER, same_zone[name].address)
            for name in order
            if name != self._name
        ]
        # A process follows the first of those that rank before it. If it ranks first,
        # entries of other zones come next, because its followers have no newer copy.
        leading = zone_sources[: min(own_rank, 1 + DEPUTY_COUNT)]
        ranked = [*leading, STORE, *_rank_leaders_first(self._name, other_zones)]
        ranked.extend(source for source in zone_sources if source not in leading)
        known = {source.address for source in ranked}
        ranked.extend(
            Source(SourceKind.PEER, seed) for seed in seeds if seed not in known
        )
        return _Ranking(ranked, leading[1:], own_rank)

    def _store_allowed_s(self, ranking: _Ranking, now_s: float) -> float:
        """Return when this process may ask the store.

        It waits for its leader, for deputies if that fails, and for any peer at which
        an answer of the store is arriving. The leader itself never waits.
        """
        if ranking.own_rank == 0:
            return float("-inf")
        arriving_s = max(self._arriving_s.values(), default=float("-inf"))
        unusable_since_s = self._unusable_since_s.get(self._primary)
        if not ranking.deputies or unusable_since_s is None:
            return arriving_s + MAX_DIRECT_AGE_S
        earlier_groups = (ranking.own_rank - 1) // STORE_GROUP_SIZE
        wait_s = earlier_groups * DEPUTY_WAIT_S
        arrived_s = arriving_s + MAX_DIRECT_AGE_S + wait_s
        if not self._responding.isdisjoint(ranking.deputies):
            wait_s += SLOW_STORE_WAIT_S
        elif not all(self._is_silent(deputy, now_s) for deputy in ranking.deputies):
            wait_s += DEPUTY_WAIT_S
        return max(unusable_since_s + wait_s, arrived_s)

    def _awaits_deputies(self, ranking: _Ranking, now_s: float) -> bool:
        """Return whether a deputy may have a newer copy soon.

        The leader fails for the deputies as well, but they may notice it a little
        later than this process.
        """
        if all(self._is_silent(deputy, now_s) for deputy in ranking.deputies):
            return False
        unusable_since_s = self._unusable_since_s.get(self._primary, now_s)
        return now_s < unusable_since_s + DEPUTY_WAIT_S

    @property
    def is_first_in_turn(self) -> bool:
        """Return whether this process needn't let others read the store before it.

        That is one that follows the store, and the one that takes over from the leader.
        """
        return self._own_rank <= 1 or self._verified == STORE

    def record_failure(self, source: Source, now_s: float) -> bool:
        """Record that a source failed; return whether it was usable before."""
        was_usable = source not in self._unusable_since_s
        self._unusable_since_s.setdefault(source, now_s)
        self._failed_s[source] = now_s
        self._responding.discard(source)
        self._arriving_s.pop(source, None)
        self._probe_allowed_s = now_s + FAILED_SOURCE_BACKOFF_S
        if source == self._verified:
            self._verified = None
        self._backoff_until_s[source] = now_s + FAILED_SOURCE_BACKOFF_S
        return was_usable

    def get_arriving_s(self, source: Source) -> float:
        """Return when a part of an answer of the store last arrived at a source."""
        return self._arriving_s.get(source, float("-inf"))

    def record_answer(
        self,
        source: Source,
        age_s: float,
        now_s: float,
        arriving_s: float = float("-inf"),
    ) -> bool:
        """Record that a source answered; return whether it became usable again.

        :param age_s: age of this process's copy after the answer.
        :param arriving_s: when a part of an answer of the store last arrived at it.
        """
        self._failed_s.pop(source, None)
        self._responding.add(source)
        self._arriving_s = {
            other: at_s
            for other, at_s in {**self._arriving_s, source: arriving_s}.items()
            if at_s > now_s - age_s
        }
        if source in (self._primary, self._verified):
            # It stays the source while it receives a newer copy.
            age_s = min(age_s, now_s - arriving_s)
        if self._is_usable(source, age_s, now_s):
            self._verified = source
            self._backoff_until_s.pop(source, None)
            return self._unusable_since_s.pop(source, None) is not None
        if source == self._primary:
            self._unusable_since_s.setdefault(source, now_s)
        backoff_s = STALE_SOURCE_BACKOFF_S
        if source == STORE:
            turn = min(self._own_rank - 1, MAX_STORE_TURNS)
            backoff_s = max(turn, 0) * STORE_TURN_S
        self._backoff_until_s[source] = now_s + backoff_s
        return False

    def _is_usable(self, source: Source, age_s: float, now_s: float) -> bool:
        """Return whether a source still receives changes of the store.

        Processes that lost the store at the same time have copies of the same age and
        could wait for each other. A fallback source must therefore have been in contact
        with the store after the primary one became unusable.
        """
        if age_s > MAX_DIRECT_AGE_S:
            return False
        unusable_since_s = self._unusable_since_s.get(self._primary)
        return (
            source == self._primary
            or unusable_since_s is None
            or now_s - age_s > unusable_since_s
        )

    def wait_s(self, source: Source, age_s: float) -> float:
        """Return how long a source may wait for a change before it answers.

        :param age_s: age of this process's copy.
        """
        if source in self._unusable_since_s:
            return 0.0
        if source not in (self._primary, self._verified):
            return 0.0
        if source == STORE:
            # The age after an answer with changes includes the wait for them.
            return max(STORE_WAIT_S - age_s, 0.0)
        return PEER_WAIT_S if age_s <= MAX_TRUSTED_AGE_S else 0.0


def _rank_leaders_first(name: str, peers: dict[str, Peer]) -> list[Source]:
    """Return the peers of other zones, starting with those that follow the store."""
    zones: dict[data.ZoneName, list[str]] = {}
    for peer in peers.values():
        zones.setdefault(peer.zone, []).append(peer.name)
    leaders = [rendezvous.rank(zone, names)[0] for zone, names in zones.items()]
    others = [peer for peer in peers if peer not in leaders]
    order = rendezvous.rank(name, leaders) + rendezvous.rank(name, others)
    return [Source(SourceKind.PEER, peers[peer].address) for peer in order]
