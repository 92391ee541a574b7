"""An entry's view of the engines.

It combines the engines' entries in the store, load reports of the processes on the
engines' instances, and the results of this entry's own requests.
"""

from collections.abc import Iterable

from toucanspread.core import data
from toucanspread.core.entry import (
    cold_engines,
    crash_evidence,
    engine_backoff,
    engine_limits,
    engine_statement,
    evacuations,
    prompt_reuse,
)
from toucanspread.core.entry import data as entry_data

LOAD_REPORT_MAX_AGE_S = 1.6  # two reports at the slow rate, and a lost one
VERSION_REPORT_MAX_AGE_S = 3.0  # versions change rarely
REMOVED_GRACE_RATIO = 0.75  # of the time for which a leaving engine still answers
AVOID_BACKOFF_BASE_S = 0.4
REJECTION_BACKOFF_S = 0.25  # a full or switching engine stays so for a while
AVOID_BACKOFF_MAX_S = 3.0
STALE_ENTRY_BACKOFF_S = 1.0  # a restarted engine writes its entry within this time
DECODE_PASSES_PER_PROMPT = 0.5  # two prompts share one decode pass on average
# A link that needs longer does not become usable by waiting for it.
MAX_LINK_DELAY_S = 1.5
# Engines whose entries may be written again although they have said that they leave.
MAX_LEFT_COUNT = 1_000
# Load reports of the known incarnation that refute a newer one; fewer may be late.
RESTART_REFUTED_COUNT = 3
AVOID_FAILURE_COUNT = 2  # a single failed request is not enough evidence


class ReportTimes:
    """When load reports arrive at this entry, from any engine."""

    def __init__(self):
        self._latest_s = float("-inf")

    def record(self, now_s: float) -> None:
        """Record the arrival of a load report."""
        self._latest_s = now_s

    def are_arriving(self, now_s: float) -> bool:
        """Return whether load reports arrive, so that a missing one says something."""
        return now_s - self._latest_s <= LOAD_REPORT_MAX_AGE_S


class Engine:
    """One incarnation of an engine.

    :param entry: its newest entry in the store.
    :param report_times: those of all engines.
    :param zone_evacuations: those of all zones.
    :ivar in_flight: number of this entry's requests at the engine.
    :ivar usable_until_s: end of its grace period after its entry was removed; None
        while it has an entry.
    :ivar prefill_until_s: time until which it prefills the prompts sent to it.
    :ivar switch_at_s: time at which it is ordered to switch to another version.
    :ivar ready_at_s: time at which it has loaded the version that it loads next.
    :ivar was_restarted: whether a load report named a newer incarnation than its entry.
    :ivar limit: the limit of requests per second that it names.
    :ivar backoff: the time for which it wants no requests from this entry.
    :ivar says_leaving: whether it has said in an answer that it is about to end.
    :ivar stale_until_s: time until which its entry in the store may be outdated.
    :ivar held_prompts: the beginnings of prompts that it is assumed to hold.
    :ivar cold_start: for how long it is cold, as it says, and the requests meanwhile.
    """

    def __init__(
        self,
        entry: entry_data.EngineEntry,
        report_times: ReportTimes | None = None,
        zone_evacuations: evacuations.Evacuations | None = None,
    ):
        self.entry = entry
        self._report_times = report_times or ReportTimes()
        self._evacuations = zone_evacuations or evacuations.Evacuations()
        self.cold_start = cold_engines.ColdStart()
        self._heard_s = float("-inf")
        self.in_flight = 0
        self.usable_until_s: float | None = None
        self.failures = 0
        self.avoid_until_s = 0.0
        self.load: entry_data.EngineLoad | None = None
        self.load_received_s = 0.0
        self.prefill_until_s = 0.0
        self.switch_at_s: float | None = None
        self.ready_at_s: float | None = None
        self.was_restarted = False
        self.stale_until_s = 0.0
        self.limit = engine_limits.EngineLimit(entry.engine_id)
        self.backoff = engine_backoff.EngineBackoff()
        self.says_leaving = False
        self.held_prompts = prompt_reuse.HeldPrompts()
        self._sent_since_load = 0
        self._refuting_count = 0

    @property
    def incarnation(self) -> crash_evidence.Incarnation:
        """Return what distinguishes it from other engines and its other lives."""
        return crash_evidence.Incarnation(self.entry.engine_id, self.entry.born_ms)

    @property
    def is_evacuated(self) -> bool:
        """Return whether its availability zone is evacuated."""
        return self._evacuations.is_evacuated(self.entry.zone)

    def cold_until_s(self, service: entry_data.Service) -> float:
        """Return the time until which the engine may be cold.

        The engines of an evacuated zone may have been restarted meanwhile, which their
        entries in the store may not say yet when the evacuation ends.

        :param service: that it belongs to.
        """
        taken_back_s = self._evacuations.ended_s(self.entry.zone)
        return max(self.cold_start.until_s, taken_back_s + service.cold_start_s)

    def is_cold(self, service: entry_data.Service, now_s: float) -> bool:
        """Return whether the engine bears only a few requests now."""
        return service.cold_per_s > 0 and now_s < self.cold_until_s(service)

    def is_avoided(self, now_s: float) -> bool:
        """Return whether the engine probably does not answer.

        It failed recently, has no entry in the store, or is silent and has not answered
        this entry's requests.
        """
        if now_s < self.avoid_until_s or self.usable_until_s is not None:
            return True
        return self.in_flight > 0 and self.is_silent(now_s)

    def is_silent(self, now_s: float) -> bool:
        """Return whether nothing is heard of the engine although others are heard.

        Neither its load reports nor answers arrive, so it may stand still, or only the
        process beside it. An engine that never sent a report is not silent.
        """
        if self.load is None or now_s - self._heard_s <= LOAD_REPORT_MAX_AGE_S:
            return False
        return self._report_times.are_arriving(now_s)

    def has_recent_load(self, now_s: float) -> bool:
        """Return whether the last load report is recent enough to be used."""
        return (
            self.load is not None
            and now_s - self.load_received_s <= LOAD_REPORT_MAX_AGE_S
        )

    def estimated_request_count(self, now_s: float, entry_count: int) -> float:
        """Return the estimated number of requests of all entries at the engine.

        :param entry_count: number of entries that send requests.
        """
        if not self.has_recent_load(now_s):
            return float(self.in_flight * max(entry_count, 1))
        reported = self.load.active + self.load.queued
        return float(max(reported + self._sent_since_load, self.in_flight))

    def complete_version(self, profile: entry_data.ModelProfile, now_s: float) -> int:
        """Return the version of which the engine holds all layers, or 0."""
        is_recent = now_s - self.load_received_s <= VERSION_REPORT_MAX_AGE_S
        if self.load is not None and is_recent:
            return self.load.version
        return entry_data.complete_version(self.entry.loaded, profile)

    def find_held(
        self, call: entry_data.Call, profile: entry_data.ModelProfile, now_s: float
    ) -> prompt_reuse.Match:
        """Return what the engine is assumed to hold of a prompt."""
        if not profile.prefix_cache_tokens or self.was_restarted:
            return prompt_reuse.NO_MATCH
        version = self.complete_version(profile, now_s)
        capacity_tokens = profile.prefix_cache_tokens
        return self.held_prompts.find(call, capacity_tokens, version, now_s)

    def link_delay_s(self, now_s: float) -> float:
        """Return the time for which bytes to the engine are held on the way."""
        if self.load is None or self.load.link_delay_s <= 0.0:
            return 0.0
        if not self.has_recent_load(now_s):
            return 0.0
        return min(self.load.link_delay_s, MAX_LINK_DELAY_S)

    def is_switching(self, now_s: float) -> bool:
        """Return whether an order keeps the engine from accepting requests.

        Its reports come too seldom to name the moment of the order.
        """
        if not self.has_recent_load(now_s):
            return False
        if self.load.busy:
            return True
        return (
            self.switch_at_s is not None
            and now_s >= self.switch_at_s - entry_data.ORDER_QUIET_S
        )

    def is_ordered(self, now_s: float, margin_s: float) -> bool:
        """Return whether an order interrupts its requests about now.

        :param margin_s: time before and after the order.
        """
        if self.is_switching(now_s):
            return True
        if self.switch_at_s is None:
            return False
        return abs(now_s - self.switch_at_s) <= margin_s

    def is_leaving(self) -> bool:
        """Return whether the engine is about to end, as it or its entry says."""
        is_draining = self.entry.state is entry_data.EngineState.DRAINING
        return is_draining or self.says_leaving or self.usable_until_s is not None

    def apply_load(self, load: entry_data.EngineLoad, now_s: float) -> None:
        """Apply a load report."""
        self._refute_restart()
        if self.load is not None and self.load.version != load.version:
            self.held_prompts.clear()
        self.load = load
        self.load_received_s = now_s
        self._heard_s = now_s
        self._report_times.record(now_s)
        self.switch_at_s = None
        if load.order_in_s is not None:
            self.switch_at_s = now_s + load.order_in_s
        self.ready_at_s = None
        if load.coming_version and load.coming_in_s is not None:
            self.ready_at_s = now_s + load.coming_in_s
        self._sent_since_load = 0

    def record_newer_incarnation(self) -> None:
        """Record a load report of a newer incarnation, so the entry is outdated."""
        self.was_restarted = True
        self._refuting_count = 0
        self.held_prompts.clear()

    def _refute_restart(self) -> None:
        """Count a load report of the known incarnation.

        An engine that has started again sends no more of them, so that the report of
        the newer incarnation was wrong if several arrive.
        """
        if not self.was_restarted:
            return
        self._refuting_count += 1
        if self._refuting_count >= RESTART_REFUTED_COUNT:
            self.was_restarted = False

    def prefill_backlog_s(self, now_s: float) -> float:
        """Return the remaining time of the prefill of the prompts that were sent."""
        return max(self.prefill_until_s - now_s, 0.0)

    def record_dispatch(self, now_s: float) -> entry_data.LimitNotice | None:
        """Record a request that this entry sends to the engine.

        :return: the notice to the other entries if the engine names a limit.
        """
        self.in_flight += 1
        self._sent_since_load += 1
        self.backoff.record_dispatch(now_s)
        return self.limit.record_dispatch(now_s)

    def add_prompt(self, tokens: int, profile: entry_data.ModelProfile, now_s: float):
        """Add a prompt, sent by this or another entry, to the prefill backlog.

        Between two prefills the engine runs a decode pass for the requests that it has
        read, so that a prompt costs a part of a pass in addition to its tokens.
        """
        prefill_s = (
            tokens / profile.read_per_s + DECODE_PASSES_PER_PROMPT * profile.pass_s
        )
        self.prefill_until_s = max(self.prefill_until_s, now_s) + prefill_s
        self.held_prompts.record_sent(tokens)

    def add_remote_prompt(
        self, tokens: int, profile: entry_data.ModelProfile, now_s: float
    ) -> None:
        """Record a prompt that another entry sent to the engine."""
        self._sent_since_load += 1
        self.add_prompt(tokens, profile, now_s)

    def apply_statement(
        self, statement: engine_statement.EngineStatement, sent_s: float, now_s: float
    ) -> entry_data.LimitNotice | None:
        """Apply what the engine says of itself in an answer.

        :param sent_s: when the request was sent.
        :return: the notice to the other entries if its limit has changed.
        """
        self.backoff.on_answer(statement.backoff_s, sent_s, now_s)
        self.says_leaving = self.says_leaving or statement.is_leaving
        return self.limit.on_answer(statement.limit_per_s, sent_s, now_s)

    def record_answering(self, now_s: float) -> None:
        """Record that a part of an answer to this entry has arrived."""
        self._heard_s = now_s

    def record_end(self) -> None:
        """Record that a request of this entry has ended."""
        self.in_flight = max(self.in_flight - 1, 0)

    def record_success(self) -> None:
        """Record a successful answer."""
        self.failures = 0
        self.avoid_until_s = 0.0

    def record_other_instance(self, now_s: float) -> None:
        """Record that another engine uses the address, so the entry may be outdated."""
        self.stale_until_s = now_s + STALE_ENTRY_BACKOFF_S

    def record_rejection(self, now_s: float) -> None:
        """Record a rejection, which is not a failure of the engine."""
        self.avoid_until_s = max(self.avoid_until_s, now_s + REJECTION_BACKOFF_S)

    def record_failure(self, now_s: float, weight: int = 1) -> bool:
        """Record a failure of the engine.

        :param weight: how much the failure counts.
        :return: whether the engine is avoided from now on.
        """
        self.failures += weight
        if self.failures < AVOID_FAILURE_COUNT:
            return False
        exponent = min(self.failures - AVOID_FAILURE_COUNT, 3)
        self.avoid_until_s = now_s + min(
            AVOID_BACKOFF_BASE_S * 2**exponent, AVOID_BACKOFF_MAX_S
        )
        return True


class EngineRegistry:
    """All engines that have an entry in the store, by id.

    :param drain_s: time for which an engine still answers after its entry is removed.
    """

    def __init__(self, drain_s: float):
        self._removed_grace_s = drain_s * REMOVED_GRACE_RATIO
        self.evacuations = evacuations.Evacuations()
        self._engines: dict[str, Engine] = {}
        # Incarnations without an entry that have said that they leave.
        self._left: dict[crash_evidence.Incarnation, None] = {}
        self._report_times = ReportTimes()

    def put(self, entry: entry_data.EngineEntry, now_s: float = 0.0) -> bool:
        """Add or update an entry; return whether it is of a new incarnation."""
        known = self._engines.get(entry.engine_id)
        if known is None or _is_new_incarnation(known.entry, entry):
            engine = Engine(entry, self._report_times, self.evacuations)
            engine.says_leaving = engine.incarnation in self._left
            engine.cold_start.record_left(entry.cold_left_s, now_s)
            self._engines[entry.engine_id] = engine
            return True
        known.cold_start.record_left(entry.cold_left_s, now_s)
        known.entry = entry
        known.usable_until_s = None
        return False

    def remove(self, engine_id: str, removed_s: float) -> None:
        """Record that the entry of an engine was removed from the store.

        :param removed_s: time at which it may have been removed.
        """
        engine = self._engines.get(engine_id)
        if engine is not None and engine.usable_until_s is None:
            engine.usable_until_s = removed_s + self._removed_grace_s

    def drop_removed(self, now_s: float) -> list[str]:
        """Drop engines whose entries were not written again; return their ids."""
        dropped = []
        for engine_id, engine in list(self._engines.items()):
            if engine.usable_until_s is None or now_s < engine.usable_until_s:
                continue
            if engine.backoff.left_s(now_s) > 0:
                # Its entry may be written again, and it wants no requests then either.
                continue
            if engine.in_flight == 0:
                self._drop(engine)
                dropped.append(engine_id)
        return dropped

    def _drop(self, engine: Engine) -> None:
        del self._engines[engine.entry.engine_id]
        if not engine.says_leaving:
            return
        self._left[engine.incarnation] = None
        if len(self._left) > MAX_LEFT_COUNT:
            del self._left[next(iter(self._left))]

    def get(self, engine_id: str) -> Engine | None:
        """Return an engine, or None if it is unknown."""
        return self._engines.get(engine_id)

    def apply_load(self, load: entry_data.EngineLoad, now_s: float) -> list[Engine]:
        """Apply a load report; one of a newer incarnation invalidates the entry.

        :return: the engines that are alive, as it says.
        """
        alive = []
        for engine in self._engines.values():
            entry = engine.entry
            if entry.address != load.address:
                continue
            if entry.born_ms == load.born_ms:
                engine.apply_load(load, now_s)
                alive.append(engine)
            elif entry.born_ms < load.born_ms:
                engine.record_newer_incarnation()
        return alive

    def of_service(self, service: data.ServiceName) -> list[Engine]:
        """Return the engines of a service."""
        return [e for e in self._engines.values() if e.entry.service == service]

    def ids(self) -> Iterable[str]:
        """Return the ids of all engines."""
        return self._engines.keys()


def _is_new_incarnation(
    old: entry_data.EngineEntry,
    new: entry_data.EngineEntry,
) -> bool:
    return old.born_ms != new.born_ms or old.address != new.address
