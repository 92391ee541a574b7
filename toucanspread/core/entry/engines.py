"""What an entry believes of the engines.

Beliefs come from the engines' entries in the store, from load reports of the
processes beside them, and from what this entry's own requests met.
"""

from collections.abc import Iterable

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data

LOAD_REPORT_MAX_AGE_S = 1.6  # two reports at the slow pace, and a lost one
VERSION_REPORT_MAX_AGE_S = 3.0  # a version changes seldom
REMOVED_GRACE_RATIO = 0.75  # of the time for which an engine that leaves still answers
AVOID_BACKOFF_BASE_S = 0.4
REJECTION_BACKOFF_S = 0.25  # an engine that is full or switches is so for a while
AVOID_BACKOFF_MAX_S = 3.0
STALE_ENTRY_BACKOFF_S = (
    1.0  # an engine that was started again writes its entry within this
)
DECODE_PASSES_PER_PROMPT = (
    0.5  # of a pass, for each prompt: two prompts share one on average
)
AVOID_FAILURE_COUNT = 2  # one failed request is no evidence yet


class Engine:
    """One incarnation of an engine.

    :param entry: its newest entry in the store.
    """

    def __init__(self, entry: entry_data.EngineEntry):
        self.entry = entry
        self.in_flight = 0
        self.gone_at_s: float | None = None
        self.failures = 0
        self.avoid_until_s = 0.0
        self.load: entry_data.EngineLoad | None = None
        self.load_at_s = 0.0
        self.prefill_until_s = 0.0
        self.order_at_s: float | None = None
        self.was_restarted = False
        self.absent_until_s = 0.0
        self._sent_since_load = 0

    def is_usable(self, now_s: float) -> bool:
        """Tell whether new requests may be sent to it."""
        if self.entry.state is not entry_data.EngineState.READY or self.was_restarted:
            return False
        if now_s < self.absent_until_s:
            return False
        # An entry that lapsed may come back.
        return self.gone_at_s is None or now_s < self.gone_at_s

    def is_avoided(self, now_s: float) -> bool:
        """Tell whether lately it failed, or vanished from the store."""
        return now_s < self.avoid_until_s or self.gone_at_s is not None

    def has_report(self, now_s: float) -> bool:
        """Tell whether there is a load report of late."""
        return self.load is not None and now_s - self.load_at_s <= LOAD_REPORT_MAX_AGE_S

    def estimated_request_count(self, now_s: float, entries: int) -> float:
        """Return how many requests it has, of all entries.

        :param entries: how many entries send requests.
        """
        if not self.has_report(now_s):
            return float(self.in_flight * max(entries, 1))
        reported = self.load.active + self.load.queued
        return float(max(reported + self._sent_since_load, self.in_flight))

    def complete_version(self, profile: entry_data.ModelProfile, now_s: float) -> int:
        """Return the version of which it holds all layers, or 0."""
        is_fresh = now_s - self.load_at_s <= VERSION_REPORT_MAX_AGE_S
        if self.load is not None and is_fresh:
            return self.load.version
        return entry_data.complete_version(self.entry.loaded, profile)

    def is_switching(self, now_s: float) -> bool:
        """Tell whether an order keeps it from taking requests."""
        return self.has_report(now_s) and self.load.busy

    def apply_load(self, load: entry_data.EngineLoad, now_s: float) -> None:
        """Take in a load report."""
        self.load = load
        self.load_at_s = now_s
        self.order_at_s = None
        if load.order_in_s is not None:
            self.order_at_s = now_s + load.order_in_s
        self._sent_since_load = 0

    def reading_s(self, now_s: float) -> float:
        """Return how long it will read the prompts that it was sent."""
        return max(self.prefill_until_s - now_s, 0.0)

    def sent(self) -> None:
        """Note a request that was sent to it."""
        self.in_flight += 1
        self._sent_since_load += 1

    def add_prompt(self, tokens: int, profile: entry_data.ModelProfile, now_s: float):
        """Add a prompt, sent by this or another entry, to what it has to read.

        Between two prompts the engine also makes a pass's steps for its writers, so
        that a prompt costs part of a pass besides its tokens.
        """
        reading_s = (
            tokens / profile.read_per_s + DECODE_PASSES_PER_PROMPT * profile.pass_s
        )
        self.prefill_until_s = max(self.prefill_until_s, now_s) + reading_s

    def add_remote_prompt(
        self, tokens: int, profile: entry_data.ModelProfile, now_s: float
    ) -> None:
        """Note a prompt that another entry has sent to it."""
        self._sent_since_load += 1
        self.add_prompt(tokens, profile, now_s)

    def ended(self) -> None:
        """Note that a request is over."""
        self.in_flight = max(self.in_flight - 1, 0)

    def succeeded(self) -> None:
        """Note an answer in good order."""
        self.failures = 0
        self.avoid_until_s = 0.0

    def answered_as_other(self, now_s: float) -> None:
        """Note that another one answers at its address; its entry may be old."""
        self.absent_until_s = now_s + STALE_ENTRY_BACKOFF_S

    def rejected(self, now_s: float) -> None:
        """Note that it takes nothing at present, which is no failure."""
        self.avoid_until_s = max(self.avoid_until_s, now_s + REJECTION_BACKOFF_S)

    def failed(self, now_s: float, weight: int = 1) -> bool:
        """Note a failure that speaks against the engine.

        :param weight: how much this failure says.
        :return: whether the engine is avoided from now on.
        """
        self.failures += weight
        if self.failures < AVOID_FAILURE_COUNT:
            return False
        over = min(self.failures - AVOID_FAILURE_COUNT, 3)
        self.avoid_until_s = now_s + min(
            AVOID_BACKOFF_BASE_S * 2**over, AVOID_BACKOFF_MAX_S
        )
        return True


class EngineRegistry:
    """All engines that the store names, by id.

    :param drain_s: for which an engine whose entry is gone still answers.
    """

    def __init__(self, drain_s: float):
        self._gone_grace_s = drain_s * REMOVED_GRACE_RATIO
        self._engines: dict[str, Engine] = {}

    def put(self, entry: entry_data.EngineEntry) -> bool:
        """Take in an entry; return whether it tells of a new incarnation."""
        known = self._engines.get(entry.engine_id)
        if known is None or _is_reborn(known.entry, entry):
            self._engines[entry.engine_id] = Engine(entry)
            return True
        known.entry = entry
        known.gone_at_s = None
        return False

    def remove(self, engine_id: str, now_s: float) -> None:
        """Note that an engine's entry is gone."""
        engine = self._engines.get(engine_id)
        if engine is not None and engine.gone_at_s is None:
            engine.gone_at_s = now_s + self._gone_grace_s

    def drop_removed(self, now_s: float) -> list[str]:
        """Forget engines whose entries did not come back; return their ids."""
        dropped = []
        for engine_id, engine in list(self._engines.items()):
            if engine.gone_at_s is None or now_s < engine.gone_at_s:
                continue
            if engine.in_flight == 0:
                del self._engines[engine_id]
                dropped.append(engine_id)
        return dropped

    def get(self, engine_id: str) -> Engine | None:
        """Return an engine, or None."""
        return self._engines.get(engine_id)

    def apply_load(self, load: entry_data.EngineLoad, now_s: float) -> None:
        """Take in a load report; one of a later start voids an entry of before."""
        for engine in self._engines.values():
            entry = engine.entry
            if entry.address != load.address:
                continue
            if entry.born_ms == load.born_ms:
                engine.apply_load(load, now_s)
            elif entry.born_ms < load.born_ms:
                engine.was_restarted = True

    def of_service(self, service: data.ServiceName) -> list[Engine]:
        """Return the engines of a service."""
        return [e for e in self._engines.values() if e.entry.service == service]

    def ids(self) -> Iterable[str]:
        """Return the ids of all engines."""
        return self._engines.keys()


def _is_reborn(
    old: entry_data.EngineEntry,
    new: entry_data.EngineEntry,
) -> bool:
    return old.born_ms != new.born_ms or old.address != new.address
