"""Compares times to the first event with and without the reuse of prompts.

It runs the choice of engines of several entries of one zone in virtual time. All
engines keep prompts; only whether the entries know of it differs. Engines prefill one
prompt after the other, and a request occupies a slot until its last event.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import (
    engine_requirements,
    engines,
    load_balancing,
    prompt_reuse,
)

ZONE = data.ZoneName("z")
DRAIN_S = 2.0
NOTICE_DELAY_S = 0.002
REPORT_INTERVAL_S = 0.1
REPORT_DELAY_S = 0.1
SLOTS = 12
DECODE_S = 1.0  # 22 events of 5 tokens with a step of 8.87 ms
MODEL = data.ModelName("m")
LAYERS = (entry_data.LoadedLayers(MODEL, 1, 0, 4),)


class Load(NamedTuple):
    """The load of one comparison, by default that of a zone of deployment D1.

    :param beginnings: number of shared beginnings; the second is used half as often as
        the first, the third a third as often.
    :param capacity_tokens: number of tokens that each engine keeps.
    """

    beginnings: int = 24
    shared_tokens: int = 800
    own_tokens: int = 300
    capacity_tokens: int = 8_000
    rate_per_s: float = 60.0
    entries: int = 20
    engines: int = 9
    duration_s: float = 30.0


class Result(NamedTuple):
    """What callers got.

    :param mean_s: mean time to the first event.
    :param p95_s: the time that 95 % of the requests did not exceed.
    :param skipped_share: prompt tokens that were not prefilled, as a part of all.
    :param largest_share: requests at the engine that got most, as a part of all.
    """

    mean_s: float
    p95_s: float
    skipped_share: float
    largest_share: float


class _KeepingEngine:
    """An engine that keeps prompts."""

    def __init__(self, name: str):
        self.name = name
        self.held = prompt_reuse.HeldPrompts()
        self.prefill_until_s = 0.0
        self.ends_s: list[float] = []
        self.request_count = 0
        self.skipped_tokens = 0

    def accept(
        self, call: entry_data.Call, profile: entry_data.ModelProfile, now_s: float
    ) -> float:
        """Take a request; return the time of its first event."""
        self.ends_s = sorted(end_s for end_s in self.ends_s if end_s > now_s)
        begin_s = max(now_s, self.prefill_until_s)
        if len(self.ends_s) >= SLOTS:
            begin_s = max(begin_s, self.ends_s[-SLOTS])
        capacity_tokens = profile.prefix_cache_tokens
        skipped = self.held.find(call, capacity_tokens, 1, begin_s).tokens
        self.held.record_answer(call, capacity_tokens, 1, begin_s)
        tokens = call.prompt_tokens - skipped
        passes_s = engines.DECODE_PASSES_PER_PROMPT * profile.pass_s
        first_s = begin_s + tokens / profile.read_per_s + passes_s
        self.prefill_until_s = first_s
        self.ends_s.append(first_s + DECODE_S)
        self.request_count += 1
        self.skipped_tokens += skipped
        return first_s

    def count_requests(self, now_s: float) -> int:
        """Return the number of requests at the engine."""
        return sum(end_s > now_s for end_s in self.ends_s)


class Comparison:
    """One run in virtual time.

    :param is_known: whether the entries know that the engines keep prompts.
    """

    def __init__(self, load: Load, is_known: bool, seed: int):
        self._load = load
        self._random = random.Random(seed)
        self._engine_profile = _make_profile(load.capacity_tokens)
        profile = _make_profile(load.capacity_tokens if is_known else 0)
        self._service = entry_data.Service(data.ServiceName("s"), profile)
        self._location = engine_requirements.EntryLocation(
            ZONE, {ZONE: data.RegionName("r")}, load.entries
        )
        self._engines = [_KeepingEngine(f"e{n}") for n in range(load.engines)]
        self._registries = [self._make_registry() for _ in range(load.entries)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._first_event_s: list[float] = []
        # The choices draw their own numbers, so that both runs get the same requests.
        self._choice_random = random.Random(seed + 1)

    def run(self) -> Result:
        """Run the load; return what callers got."""
        self._at(0.0, self._on_arrival)
        self._at(0.0, self._on_report)
        while self._events:
            now_s, _, handle = heapq.heappop(self._events)
            handle(now_s)
        delays_s = sorted(self._first_event_s)
        count = len(delays_s)
        prompt_tokens = self._load.shared_tokens + self._load.own_tokens
        skipped = sum(engine.skipped_tokens for engine in self._engines)
        most = max(engine.request_count for engine in self._engines)
        return Result(
            sum(delays_s) / count,
            delays_s[int(0.95 * count)],
            skipped / (count * prompt_tokens),
            most / count,
        )

    def _at(self, time_s: float, handle: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._numbers), handle))

    def _make_registry(self) -> engines.EngineRegistry:
        registry = engines.EngineRegistry(DRAIN_S)
        for engine in self._engines:
            registry.put(
                entry_data.EngineEntry(
                    engine.name,
                    self._service.name,
                    data.Address(engine.name),
                    ZONE,
                    SLOTS,
                    entry_data.EngineState.READY,
                    loaded=LAYERS,
                )
            )
        return registry

    def _on_report(self, now_s: float) -> None:
        for engine in self._engines:
            count = engine.count_requests(now_s)
            load = entry_data.EngineLoad(
                data.Address(engine.name),
                0,
                min(count, SLOTS),
                max(count - SLOTS, 0),
                1,
                False,
            )
            self._at(now_s + REPORT_DELAY_S, lambda s, load=load: self._apply(load, s))
        if now_s < self._load.duration_s:
            self._at(now_s + REPORT_INTERVAL_S, self._on_report)

    def _apply(self, load: entry_data.EngineLoad, now_s: float) -> None:
        for registry in self._registries:
            registry.apply_load(load, now_s)

    def _on_arrival(self, now_s: float) -> None:
        wait_s = self._random.expovariate(self._load.rate_per_s)
        if now_s + wait_s < self._load.duration_s:
            self._at(now_s + wait_s, self._on_arrival)
        call = self._draw_call()
        sender = self._random.choice(self._registries)
        profile = self._service.profile
        passes_s = engines.DECODE_PASSES_PER_PROMPT * profile.pass_s
        requirements = engine_requirements.EngineRequirements(
            self._service,
            prefill_s=call.prompt_tokens / profile.read_per_s + passes_s,
            rate_per_s=self._load.rate_per_s / self._load.entries,
            call=call,
        )
        chosen = load_balancing.choose_engine(
            sender, requirements, self._location, now_s, self._choice_random
        )
        tokens = call.prompt_tokens - chosen.find_held(call, profile, now_s).tokens
        chosen.record_dispatch(now_s)
        chosen.add_prompt(tokens, profile, now_s)
        engine_id = chosen.entry.engine_id
        for registry in self._registries:
            if registry is sender:
                continue
            remote = registry.get(engine_id)
            self._at(
                now_s + NOTICE_DELAY_S,
                lambda s, e=remote: e.add_remote_prompt(tokens, profile, s),
            )
        engine = next(each for each in self._engines if each.name == engine_id)
        first_s = engine.accept(call, self._engine_profile, now_s)
        self._first_event_s.append(first_s - now_s)
        self._at(first_s, lambda s: self._on_first_event(chosen, call, s))
        self._at(first_s + DECODE_S, lambda s: chosen.record_end())

    def _on_first_event(
        self, chosen: engines.Engine, call: entry_data.Call, now_s: float
    ) -> None:
        capacity_tokens = self._service.profile.prefix_cache_tokens
        if capacity_tokens:
            chosen.held_prompts.record_answer(call, capacity_tokens, 1, now_s)

    def _draw_call(self) -> entry_data.Call:
        load = self._load
        names = range(load.beginnings)
        weights = [1 / (name + 1) for name in names]
        shared = self._random.choices(names, weights)[0]
        return entry_data.Call(
            "id",
            "h",
            "/",
            None,
            prompt_tokens=load.shared_tokens + load.own_tokens,
            sized_parts=(
                entry_data.PromptPart(
                    entry_data.PromptPartId(f"{shared}"), load.shared_tokens
                ),
                entry_data.PromptPart(
                    entry_data.PromptPartId(f"own{next(self._numbers)}"),
                    load.own_tokens,
                ),
            ),
        )


def _make_profile(capacity_tokens: int) -> entry_data.ModelProfile:
    return entry_data.ModelProfile(
        MODEL,
        4,
        8,
        1024,
        0.3,
        read_per_s=19_100.0,
        pass_s=0.04435,  # 5 steps of 8.87 ms
        prefix_cache_tokens=capacity_tokens,
    )
