"""Decides from whom a process learns next what is in the store.

The load this answers: calls to the store are counted and limited, large values cross
links between regions, and the store may turn some instances away while others hear of
every change. One entry of each availability zone follows the store; the other
processes of the zone follow that entry; whoever finds its copy too old asks around,
and asks the store itself.
"""

import enum
from typing import NamedTuple

from toucanspread.core import data, rendezvous

STORE_WAIT_S = 0.75  # with its grace and another connection, less than 2 s
PEER_WAIT_S = 0.75
ANSWER_GRACE_S = 0.5  # an answer may be this much later than the wait asked for
MAX_TRUSTED_AGE_S = (
    2.0  # two waits and their answers: an older copy is checked elsewhere
)
MAX_DIRECT_AGE_S = 1.1  # the copy of one that follows the store itself is no older
FAILED_SOURCE_BACKOFF_S = 1.0  # a source that failed is asked again after this
STALE_SOURCE_BACKOFF_S = 0.3  # one that only had nothing newer may have it soon
BATCH_DELAY_S = 0.1  # changes in quick succession are fetched together
RETRY_DELAY_S = 0.15


class SourceKind(enum.Enum):
    """Whom to ask."""

    STORE = "store"
    PEER = "peer"


class Source(NamedTuple):
    """Whom to ask, and where.

    :param address: of the peer; empty for the store.
    """

    kind: SourceKind
    address: data.Address = data.Address("")


STORE = Source(SourceKind.STORE)


class Peer(NamedTuple):
    """Another entry that can hand its copy on."""

    name: str
    zone: data.ZoneName
    address: data.Address


class SourceSelector:
    """Ranks the sources and remembers which failed lately.

    :param name: of this process, among the entries' names.
    :param may_lead: whether this process takes part in following the store directly.
    """

    def __init__(self, name: str, zone: data.ZoneName, can_lead: bool):
        self._name = name
        self.zone = zone
        self._may_lead = can_lead
        self._paused_until_s: dict[Source, float] = {}
        self._lost_s: dict[Source, float] = {}  # since when sources are of no use
        self._usual = STORE
        self._trusted: Source | None = None

    def rank_sources(
        self, peers: list[Peer], seeds: list[data.Address]
    ) -> list[Source]:
        """Return all sources, the usual one first."""
        near = {peer.name: peer for peer in peers if peer.zone == self.zone}
        far = {peer.name: peer for peer in peers if peer.zone != self.zone}
        names = set(near)
        if self._may_lead:
            names.add(self._name)
        order = rendezvous.rank(self.zone, names)
        others = [
            Source(SourceKind.PEER, near[name].address)
            for name in order
            if name != self._name
        ]
        # A follower has one usual source; the others are for when it fails.
        usual, spare = [STORE], others
        if order and order[0] != self._name:
            usual, spare = others[:1], others[1:]
        # Those that follow this very process know no more than it does.
        spare = [*_leaders_first(self._name, far), *spare]
        if usual != [STORE]:
            spare.insert(0, STORE)
        known = {source.address for source in usual + spare}
        spare.extend(
            Source(SourceKind.PEER, seed) for seed in seeds if seed not in known
        )
        return usual + spare

    def select_source(
        self,
        peers: list[Peer],
        seeds: list[data.Address],
        now_s: float,
    ) -> Source | None:
        """Return whom to ask next, or None when all were of no use lately."""
        ranked = self.rank_sources(peers, seeds)
        self._usual = ranked[0]
        for source in ranked:
            if now_s >= self._paused_until_s.get(source, now_s):
                return source
        return None

    def record_failure(self, source: Source, now_s: float) -> bool:
        """Note that a source did not answer; return whether that is news."""
        is_news = source not in self._lost_s
        self._lost_s.setdefault(source, now_s)
        self._paused_until_s[source] = now_s + FAILED_SOURCE_BACKOFF_S
        return is_news

    def record_answer(self, source: Source, age_s: float, now_s: float) -> bool:
        """Note that a source answered; return whether it had been lost before.

        :param age_s: of this process's copy after the answer.
        """
        if self._is_of_use(source, age_s, now_s):
            self._trusted = source
            self._paused_until_s.pop(source, None)
            return self._lost_s.pop(source, None) is not None
        if source == self._usual:
            self._lost_s.setdefault(source, now_s)
        self._paused_until_s[source] = now_s + STALE_SOURCE_BACKOFF_S
        return False

    def _is_of_use(self, source: Source, age_s: float, now_s: float) -> bool:
        """Tell whether a source still hears of what changes in the store.

        Those that lost the store together have copies of the same age, and could wait
        for each other; a spare source must have been in touch since the usual one
        was lost.
        """
        if age_s > MAX_DIRECT_AGE_S:
            return False
        lost_s = self._lost_s.get(self._usual)
        return source == self._usual or lost_s is None or now_s - age_s > lost_s

    def wait_s(self, source: Source, age_s: float) -> float:
        """Return how long a peer may wait for something new before it answers.

        :param age_s: of this process's copy.
        """
        if age_s > MAX_TRUSTED_AGE_S or source not in (self._usual, self._trusted):
            return 0.0
        return PEER_WAIT_S


def _leaders_first(name: str, peers: dict[str, Peer]) -> list[Source]:
    """Return the peers of other zones, those that follow the store first."""
    zones: dict[data.ZoneName, list[str]] = {}
    for peer in peers.values():
        zones.setdefault(peer.zone, []).append(peer.name)
    leaders = [rendezvous.rank(zone, names)[0] for zone, names in zones.items()]
    others = [peer for peer in peers if peer not in leaders]
    order = rendezvous.rank(name, leaders) + rendezvous.rank(name, others)
    return [Source(SourceKind.PEER, peers[peer].address) for peer in order]
