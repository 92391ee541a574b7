"""Load profiles of the users' heaviest days, for simulations of entries' decisions.

Kinds of requests and rates are from the users' figures. Rates are for seven engines, of
which each answers about nine requests per second.
"""

import dataclasses
import enum

from standins import engine_model
from toucanspread.core.entry import data as entry_data

RETRY_ALLOWANCE = 234  # of a service in ten seconds, from the users' figures


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """A kind of request, from the users' figures.

    :param target_s: target time until the first event.
    :param share: part of all requests.
    :param priority: that the route declares; 0 is the most urgent.
    """

    name: str
    mean_prompt_tokens: int
    target_s: float
    share: float
    priority: int = 1


@dataclasses.dataclass(frozen=True)
class KindLoad:
    """A kind of request that arrives at rates of its own.

    :param rates_per_s: steps of (time, requests per second).
    """

    kind: RequestKind
    rates_per_s: tuple[tuple[float, float], ...]


REQUEST_KINDS = (
    RequestKind("long", 1_330, 0.505, 0.40),
    RequestKind("middle", 827, 0.404, 0.31),
    RequestKind("short", 647, 0.404, 0.29),
)


@dataclasses.dataclass(frozen=True)
class LimitChange:
    """Some engines name a limit of requests per second in their answers.

    :param engine_count: the first so many engines.
    :param limit_per_s: from all entries together; None to name no limit any more.
    """

    at_s: float
    engine_count: int
    limit_per_s: float | None


@dataclasses.dataclass(frozen=True)
class RejectionPeriod:
    """Some engines reject all requests for a time, and name a time in each answer.

    :param engine_numbers: numbers of the engines, from 0.
    :param backoff_s: time for which they want no requests from the entry.
    """

    at_s: float
    engine_numbers: tuple[int, ...]
    duration_s: float
    backoff_s: float


@dataclasses.dataclass(frozen=True)
class EngineDeparture:
    """Some engines say in all their answers that they leave, and end later.

    :param engine_numbers: numbers of the engines, from 0.
    :param duration_s: time until they end.
    """

    at_s: float
    engine_numbers: tuple[int, ...]
    duration_s: float


class PartPlace(enum.Enum):
    """Place of a part among the three shared parts of a prompt."""

    FIRST = 0
    MIDDLE = 1
    LAST = 2


class OtherParts(enum.Enum):
    """The shared parts of a prompt beside a part on which engines crash."""

    POPULAR = "drawn as those of sound prompts"
    SAME = "always the most frequent ones of sound prompts"
    OWN = "always the same ones, which no sound prompt has"


@dataclasses.dataclass(frozen=True)
class CrashingPart:
    """Engines crash on a part of some prompts, beside the other requests.

    :param place: place of the part; None if it is one request that comes again, whose
        parts are the most frequent ones of sound prompts.
    :param crashes_engines: whether they do; if not, the part is only a frequent one.
    :param rate_per_s: requests per second with the part.
    :param from_s: time at which the first of them may come.
    :param until_s: time from which on no more of them come.
    :param is_of_one_caller: whether they have the API key and the first part that are
        the most frequent ones of the other requests.
    :param route: name of the kind of the requests; None for all kinds.
    """

    part: entry_data.PromptPartId
    place: PartPlace | None
    rate_per_s: float
    from_s: float
    until_s: float = float("inf")
    is_of_one_caller: bool = False
    other_parts: OtherParts = OtherParts.POPULAR
    route: str | None = None
    crashes_engines: bool = True


@dataclasses.dataclass(frozen=True)
class EngineCrashes:
    """Some engines crash at the same moment, whatever their requests are.

    :param engine_numbers: numbers of the engines, from 0.
    :param duration_s: time until they are back.
    """

    at_s: float
    engine_numbers: tuple[int, ...]
    duration_s: float


@dataclasses.dataclass(frozen=True)
class EngineFreeze:
    """Some engines stand still, with their sidecars, and then go on.

    :param engine_numbers: numbers of the engines, from 0.
    """

    at_s: float
    engine_numbers: tuple[int, ...]
    duration_s: float


@dataclasses.dataclass(frozen=True)
class VersionChange:
    """The operator names the next version of the weights.

    :param within_s: time within which requests must begin on it.
    :param learned_within_s: time within which all entries learn of it.
    """

    at_s: float
    within_s: float
    learned_within_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class LinkProfile:
    """The link to each engine's instance, over which its sidecar fetches weights.

    :param rates_mbps: steps of (time, Mbit/s).
    :param configured_mbps: the rate that sidecars expect.
    """

    rates_mbps: tuple[tuple[float, float], ...]
    configured_mbps: float = 4.7


@dataclasses.dataclass(frozen=True)
class LoadProfile:
    """Rates of requests and numbers of engines over time.

    :param rates_per_s: steps of (time, requests per second).
    :param engines: steps of (time, number of serving engines).
    :param duration_s: time during which callers send requests.
    :param switch_times_s: times at which engines switch to a new version, one time
        for each group.
    :param limits: changes of the limits that engines name.
    :param rejections: times in which engines reject all requests.
    :param departures: engines that leave, as only their answers say.
    :param crashing_parts: parts of prompts on which engines crash.
    :param version_change: when the version is named to which engines switch; None if it
        doesn't matter on which version requests begin.
    :param engine_link_delay_s: additional delay of all that is sent to engines, as
        behind pieces of weights.
    :param delayed_engine_numbers: numbers of the engines with that delay; None for all.
    :param engine_link: the links to engines' instances, on which pieces of weights are
        ahead of requests; None if they hold nothing up.
    :param engine_crashes: crashes of engines for other reasons.
    :param engine_freezes: times for which engines stand still.
    :param silent_sidecars: the same of sidecars only, whose engines serve as before.
    :param loss_ratio: part of the datagrams to entries that are lost.
    :param entry_ttl_s: time of silence after which an engine's entry in the store
        expires; None if entries never do.
    :param retry_allowance: of all entries together, beside a part of the requests.
    :param kind_loads: the kinds that arrive at rates of their own, instead of
        ``rates_per_s``; empty for a mix of ``REQUEST_KINDS``.
    :param slots: maximum number of running requests of each engine.
    :param has_priorities: whether entries apply the declared priorities.
    """

    name: str
    rates_per_s: tuple[tuple[float, float], ...]
    engines: tuple[tuple[float, int], ...]
    duration_s: float
    switch_times_s: tuple[float, ...] = ()
    entries: int = 18
    limits: tuple[LimitChange, ...] = ()
    rejections: tuple[RejectionPeriod, ...] = ()
    departures: tuple[EngineDeparture, ...] = ()
    crashing_parts: tuple[CrashingPart, ...] = ()
    version_change: VersionChange | None = None
    engine_link_delay_s: float = 0.0
    delayed_engine_numbers: tuple[int, ...] | None = None
    engine_link: LinkProfile | None = None
    engine_crashes: tuple[EngineCrashes, ...] = ()
    engine_freezes: tuple[EngineFreeze, ...] = ()
    silent_sidecars: tuple[EngineFreeze, ...] = ()
    loss_ratio: float = 0.0
    entry_ttl_s: float | None = None
    retry_allowance: float = RETRY_ALLOWANCE
    kind_loads: tuple[KindLoad, ...] = ()
    slots: int = engine_model.SLOT_COUNT
    has_priorities: bool = False


LOAD_PROFILES = (
    LoadProfile("calm", ((0.0, 42.0),), ((0.0, 7),), 10.0),
    # 80% of the capacity of the engines, as on most days.
    LoadProfile("usual", ((0.0, 86.0),), ((0.0, 12),), 10.0),
    # The rate doubles, and more engines are added four seconds later.
    LoadProfile("burst", ((0.0, 38.0), (3.0, 75.0)), ((0.0, 6), (7.0, 10)), 16.0),
    # A third above the capacity of the engines, for the whole duration.
    LoadProfile("overload", ((0.0, 82.0),), ((0.0, 7),), 10.0),
    # All engines switch to a new version, in three groups.
    LoadProfile("switch", ((0.0, 70.0),), ((0.0, 10),), 9.0, (3.0, 3.9, 4.8)),
    # All engines are lost, and return together.
    # Two engines in need, and then all of them for some seconds.
    LoadProfile(
        "limits",
        ((0.0, 70.0),),
        ((0.0, 10),),
        16.0,
        limits=(
            LimitChange(2.0, 2, 1.0),
            LimitChange(7.0, 10, 4.0),
            LimitChange(11.0, 10, None),
        ),
    ),
    # Half of the engines, and then the other half, want no requests for two seconds.
    LoadProfile(
        "backoffs",
        ((0.0, 50.0),),
        ((0.0, 10),),
        14.0,
        rejections=(
            RejectionPeriod(3.0, (0, 1, 2, 3, 4), 0.5, 2.0),
            RejectionPeriod(7.0, (5, 6, 7, 8, 9), 0.5, 2.0),
        ),
    ),
    # Three of ten engines leave, as only their answers say.
    LoadProfile(
        "leaving",
        ((0.0, 50.0),),
        ((0.0, 10),),
        14.0,
        departures=(EngineDeparture(3.0, (0, 1, 2), 4.0),),
    ),
    LoadProfile("recovery", ((0.0, 70.0),), ((0.0, 10), (3.0, 0), (5.5, 10)), 14.0),
    # Six requests a second crash the engines that begin to answer them.
    LoadProfile(
        "crash",
        ((0.0, 70.0),),
        ((0.0, 10),),
        16.0,
        crashing_parts=(
            CrashingPart(entry_data.PromptPartId("c"), PartPlace.MIDDLE, 6.0, 3.0),
        ),
    ),
)

# Engines crash in groups and flap, and switch to a new version, but not because of the
# prompts; one part comes with the first crash and is then the most frequent one.
FLAPPING_PROFILE = LoadProfile(
    "flapping",
    ((0.0, 40.0),),
    ((0.0, 10),),
    16.0,
    (6.0, 6.9, 7.8),
    crashing_parts=(
        CrashingPart(
            entry_data.PromptPartId("new"),
            PartPlace.FIRST,
            15.0,
            2.0,
            crashes_engines=False,
        ),
    ),
    engine_crashes=(
        EngineCrashes(0.4, (0, 1), 0.5),
        *(EngineCrashes(2.0 + 0.7 * number, (0,), 0.3) for number in range(12)),
        *(EngineCrashes(2.3 + 1.1 * number, (1, 2, 3), 0.5) for number in range(8)),
        EngineCrashes(10.5, (4, 5, 6, 7), 1.5),
        EngineCrashes(12.5, tuple(range(10)), 0.5),
    ),
)

# Callers ask for two times, and six times, as much as the engines can answer, since a
# part of them is gone.
PRESSED_PROFILE = LoadProfile(
    "pressed", ((0.0, 86.0), (3.0, 190.0)), ((0.0, 14), (4.0, 10)), 14.0
)
CROWDED_PROFILE = LoadProfile(
    "crowded", ((0.0, 86.0), (3.0, 380.0)), ((0.0, 14), (4.0, 7)), 14.0
)


# The least urgent kind arrives 2.6 times as often for 6.3 seconds.
BURST_START_S = 2.0
BURST_END_S = 8.3
BURST_FACTOR = 2.6
COMPETITION_SLOT_COUNT = 12
PATIENT_KIND = RequestKind("patient", 1_290, 1.006, 0.0, 2)
URGENT_KIND = RequestKind("urgent", 787, 0.405, 0.0, 0)
MIDDLE_KIND = RequestKind("middle", 607, 0.405, 0.0, 1)


def make_competition(
    entry_count: int, has_priorities: bool, scale: float = 1.0
) -> LoadProfile:
    """Return a burst of the least urgent kind beside more urgent ones.

    The rates are a quarter of those of the users' deployment.

    :param scale: factor of all rates.
    """
    patient_per_s, urgent_per_s, middle_per_s = (
        scale * rate_per_s for rate_per_s in (20.8, 26.5, 14.8)
    )
    return LoadProfile(
        "competition",
        (),
        ((0.0, 8),),
        9.0,
        entries=entry_count,
        kind_loads=(
            KindLoad(
                PATIENT_KIND,
                (
                    (0.0, patient_per_s),
                    (BURST_START_S, patient_per_s * BURST_FACTOR),
                    (BURST_END_S, patient_per_s),
                ),
            ),
            KindLoad(URGENT_KIND, ((0.0, urgent_per_s),)),
            KindLoad(MIDDLE_KIND, ((0.0, middle_per_s),)),
        ),
        slots=COMPETITION_SLOT_COUNT,
        has_priorities=has_priorities,
    )


def get_request_kind(name: str) -> RequestKind:
    """Return a kind of request by its name."""
    return next(kind for kind in REQUEST_KINDS if kind.name == name)


def get_step_value(steps: tuple[tuple[float, float], ...], now_s: float) -> float:
    """Return the value of a step function."""
    current = steps[0][1]
    for from_s, value in steps:
        if from_s <= now_s:
            current = value
    return current
