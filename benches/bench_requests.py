"""Measures an entry's routing decisions in virtual time, and their processor time.

Prints ``name=value`` lines: the hit rate of prefix caches compared with random choice
and round robin, the balance between entries while callers cache addresses, goodput
under overload and in an outage, and the processor time of an entry's events.
"""

import collections
import itertools
import random
import time
import types
from collections.abc import Callable

from standins import request_simulation
from toucanspread.core import data, events, machine
from toucanspread.core.requests import (
    endpoints,
    entry_selection,
    request_events,
    routing,
)

SEED = 20
SERVICE = data.ServiceName("redactor")
TEAM = data.TeamName("team")
ZONES = ("za", "zb", "zc")
ENDPOINT_LIMIT = 16

PREFIX_COUNT = 400
PREFIX_ZIPF = 1.0  # frequency of a prefix is proportional to 1 / rank ** PREFIX_ZIPF
CACHED_PREFIX_COUNT = 40  # for each engine
PREFIX_REQUEST_COUNT = 40_000
RUNNING_REQUEST_COUNT = 40  # on all engines together, in the prefix measurement

CALLERS_PER_ENTRY = 40
EVENNESS_DURATION_S = 60.0
CALLER_INTERVAL_S = 1.0

LOAD_FACTORS = (0.5, 1.0, 2.0, 4.0)
LOAD_DURATION_S = 40.0
SETTLE_S = 10.0  # start of a run that is left out of the results
SMALL_TEAM_LOAD = 0.05  # as a ratio of the capacity
LARGE_TEAM_LOAD = 3.0
OUTAGE_LOAD = 0.7

COST_REQUEST_COUNT = 4_000
COST_ENDPOINT_COUNT = 100


def make_identity(name: str, role: data.Role, zone: str) -> data.Identity:
    """Return the identity of a simulated process."""
    address = data.Address(f"10.0.0.1:{name}")
    http_address = data.Address(f"http-{name}" if role is data.Role.ENTRY else "")
    return data.Identity(
        data.InstanceId(name),
        role,
        data.Incarnation(1),
        data.ZoneName(zone),
        data.RegionName("r"),
        address,
        http_address,
    )


def make_report(name: str, zone: str) -> data.Report:
    """Return the report of an idle endpoint."""
    return data.Report(
        identity=make_identity(name, data.Role.ENDPOINT, zone),
        sequence=1,
        state=data.MemberState.LIVE,
        service=SERVICE,
        version=data.VersionName("v1"),
        load=data.Load(limit=ENDPOINT_LIMIT, service_time_s=1.0),
    )


def make_entry(
    name: str, zone: str, seed: int, endpoint_count: int, zones: tuple[str, ...] = ZONES
) -> machine.Machine:
    """Return an entry that knows endpoints, spread over the zones."""
    intent = data.Intent(SERVICE, data.ServiceKind.MODEL, endpoint_count, 1, ZONES)
    identity = make_identity(name, data.Role.ENTRY, zone)
    entry = request_simulation.make_entry_machine(identity, seed, intent)
    for number in range(endpoint_count):
        report = make_report(f"p{number}", zones[number % len(zones)])
        entry.step(0.0, events.ReportReceived(report))
    return entry


def make_request(number: int, prefix_hash: int = 0) -> data.Request:
    """Return a request of a model service."""
    name = data.RequestId(f"q{number}")
    return data.Request(name, TEAM, SERVICE, 30.0, prefix_hash=prefix_hash)


ChooseEndpoint = Callable[[machine.Machine, data.Request], endpoints.Endpoint]


def choose_by_prefix(entry: machine.Machine, request: data.Request):
    """Choose an endpoint by the routing of the entry, which considers prefixes."""
    return routing.choose_endpoint(entry.node, request)


def choose_at_random(entry: machine.Machine, request: data.Request):
    """Choose a random endpoint."""
    return entry.node.random.choice(tuple(entry.node.routing.endpoints.values()))


def make_round_robin() -> ChooseEndpoint:
    """Return a function that chooses the endpoints in turn."""
    turns = itertools.count()

    def choose(entry: machine.Machine, request: data.Request):
        known = tuple(entry.node.routing.endpoints.values())
        return known[next(turns) % len(known)]

    return choose


def measure_prefixes(choose: ChooseEndpoint, engine_count: int) -> tuple[float, float]:
    """Return the hit rate of the engines' caches, and the load of the busiest engine.

    The load is its number of requests relative to the mean.
    """
    random_source = random.Random(SEED)
    entry = make_entry("e1", "za", SEED, engine_count, zones=("za",))
    weights = [1.0 / (rank + 1) ** PREFIX_ZIPF for rank in range(PREFIX_COUNT)]
    caches = collections.defaultdict(collections.OrderedDict)
    running: collections.deque[data.Identity] = collections.deque()
    request_counts = collections.Counter()
    hits = 0
    for number, prefix in enumerate(
        random_source.choices(
            range(1, PREFIX_COUNT + 1), weights, k=PREFIX_REQUEST_COUNT
        )
    ):
        request = make_request(number, endpoints.compute_stable_hash(str(prefix)))
        chosen = choose(entry, request).identity
        entry.step(number * 0.01, endpoints.AttemptStarted(chosen))
        running.append(chosen)
        if len(running) > RUNNING_REQUEST_COUNT:
            ended = endpoints.AttemptFinished(running.popleft(), data.Reason.NONE)
            entry.step(number * 0.01, ended)
        cache = caches[chosen.instance_id]
        hits += prefix in cache
        cache[prefix] = True
        cache.move_to_end(prefix)
        if len(cache) > CACHED_PREFIX_COUNT:
            cache.popitem(last=False)
        request_counts[chosen.instance_id] += 1
    mean = PREFIX_REQUEST_COUNT / engine_count
    return hits / PREFIX_REQUEST_COUNT, max(request_counts.values()) / mean


def measure_evenness(entry_count: int) -> float:
    """Return the number of requests of the busiest entry relative to the mean.

    All callers first request addresses from the same entry, cache each answer for its
    lifetime and use its first address. The result is the maximum over windows of ten
    seconds. The first twenty seconds, in which callers move away from the first entry,
    are left out.
    """
    random_source = random.Random(SEED)
    entries = {}
    for number in range(entry_count):
        zone = ZONES[number % len(ZONES)]
        entry = make_entry(f"e{number}", zone, SEED + number, 9)
        entries[entry.node.identity.http_address] = entry
    for entry in entries.values():
        entry.node.membership.members = {
            other.node.identity.instance_id: types.SimpleNamespace(
                identity=other.node.identity, state=data.MemberState.LIVE
            )
            for other in entries.values()
        }
    first_address = next(iter(entries))
    caller_count = CALLERS_PER_ENTRY * entry_count
    cached_answers = [
        (first_address, random_source.uniform(0.0, 10.0)) for _ in range(caller_count)
    ]
    windows = collections.defaultdict(collections.Counter)
    for second in range(int(EVENNESS_DURATION_S / CALLER_INTERVAL_S)):
        now_s = second * CALLER_INTERVAL_S
        for caller in range(caller_count):
            address, expires_s = cached_answers[caller]
            if now_s >= expires_s:
                address, lifetime_s = _request_addresses(
                    entries[address], now_s, caller
                )
                cached_answers[caller] = (address, now_s + lifetime_s)
            windows[second // 10][address] += 1
    later_windows = list(windows.values())[2:]
    return max(
        _compute_max_to_mean(request_counts, entry_count)
        for request_counts in later_windows
    )


def _request_addresses(
    entry: machine.Machine, now_s: float, caller: int
) -> tuple[str, float]:
    operation_id = data.OperationId(str(caller))
    event = entry_selection.AddressesRequested(operation_id, TEAM, SERVICE)
    output = entry.step(max(now_s, entry.node.now_s), event)[0]
    return output.addresses[0], output.lifetime_s


def _compute_max_to_mean(
    request_counts: collections.Counter, entry_count: int
) -> float:
    return max(request_counts.values()) / (sum(request_counts.values()) / entry_count)


def measure_goodput(load_factor: float, limit: int) -> float:
    """Return the requests completed in time relative to the engines' capacity."""
    setup = request_simulation.Setup(limit=limit)
    simulation = request_simulation.RequestSimulation(setup)
    simulation.add_load(TEAM, load_factor * setup.capacity, LOAD_DURATION_S)
    simulation.run_until(LOAD_DURATION_S + setup.budget_s)
    done, _ = simulation.count_on_time(SETTLE_S, LOAD_DURATION_S)
    return done / (LOAD_DURATION_S - SETTLE_S) / setup.capacity


def measure_flood(is_separate: bool) -> float:
    """Return the success rate of a small team while a large one overloads the service.

    :param is_separate: whether the two are different teams to the entry.
    """
    small = data.TeamName("small")
    large = data.TeamName("large" if is_separate else "small")
    team_names = {small, large}
    shares = tuple(data.TeamShare(name, 1.0) for name in sorted(team_names))
    setup = request_simulation.Setup(teams=shares)
    simulation = request_simulation.RequestSimulation(setup)
    simulation.add_load(small, SMALL_TEAM_LOAD * setup.capacity, LOAD_DURATION_S)
    simulation.add_load(large, LARGE_TEAM_LOAD * setup.capacity, LOAD_DURATION_S)
    simulation.run_until(LOAD_DURATION_S + setup.budget_s)
    done, total = simulation.count_on_time(SETTLE_S, LOAD_DURATION_S, small)
    return done / total


def measure_outage() -> dict[str, float]:
    """Return the retries during an outage of all engines but one, and the recovery.

    The engines are unavailable from 10 s to 20 s. ``dispatches`` is the number of
    attempts per request in that time, ``recovery`` the ratio of requests that succeed
    among those of the ten seconds from 22 s on.
    """
    setup = request_simulation.Setup()
    simulation = request_simulation.RequestSimulation(setup)
    simulation.add_load(TEAM, OUTAGE_LOAD * setup.capacity, LOAD_DURATION_S)
    simulation.run_until(10.0)
    requests_before, dispatches_before = (
        len(simulation.sent_requests),
        simulation.dispatches,
    )
    for endpoint in simulation.endpoints[1:]:
        endpoint.is_up = False
    simulation.run_until(20.0)
    attempts = simulation.dispatches - dispatches_before
    per_request = attempts / (len(simulation.sent_requests) - requests_before)
    for endpoint in simulation.endpoints:
        endpoint.is_up = True
    simulation.run_until(LOAD_DURATION_S + setup.budget_s)
    done, total = simulation.count_on_time(22.0, 32.0)
    return {"dispatches": per_request, "recovery": done / total}


def measure_costs() -> dict[str, float]:
    """Return the processor time of an entry's events, in microseconds."""
    entry = make_entry("e1", "za", SEED, COST_ENDPOINT_COUNT)
    names = ("arrived", "progressed", "ended", "report", "tick")
    cpu_s = dict.fromkeys(names, 0.0)

    def step(name: str, now_s: float, event: data.Event) -> list[data.Effect]:
        started_s = time.process_time()
        outputs = entry.step(now_s, event)
        cpu_s[name] += time.process_time() - started_s
        return outputs

    for number in range(COST_REQUEST_COUNT):
        now_s = number * 0.01
        request = make_request(
            number, endpoints.compute_stable_hash(str(number % PREFIX_COUNT))
        )
        outputs = step("arrived", now_s, request_events.RequestReceived(request))
        attempt = outputs[0].dispatch.attempt
        progressed = request_events.AttemptProgressed(request.request_id, attempt, 10)
        step("progressed", now_s, progressed)
        end = data.AnswerEnd(
            request.request_id,
            attempt,
            data.Outcome.DONE,
            payload_bytes=10,
            load=data.Load(limit=ENDPOINT_LIMIT),
        )
        step("ended", now_s, request_events.AttemptEnded(end))
        index = number % COST_ENDPOINT_COUNT
        report = make_report(f"p{index}", ZONES[index % len(ZONES)])
        step("report", now_s, events.ReportReceived(report))
        step("tick", now_s, events.Tick())
    return {name: cpu_s[name] / COST_REQUEST_COUNT * 1e6 for name in names}


def main() -> None:
    """Run and print all measurements."""
    print(f"seed={SEED}")
    for count in (7, 40):
        for name, choose in (
            ("product", choose_by_prefix),
            ("random", choose_at_random),
            ("round_robin", make_round_robin()),
        ):
            hit_rate, share = measure_prefixes(choose, count)
            print(f"prefix_hit_rate_{name}_{count}_engines={hit_rate:.3f}")
            print(f"busiest_engine_to_mean_{name}_{count}_engines={share:.2f}")
    for count in (21, 351):
        print(f"busiest_entry_to_mean_{count}_entries={measure_evenness(count):.2f}")
    for load in LOAD_FACTORS:
        for name, limit in (
            ("limits", request_simulation.admission.INITIAL_LIMIT),
            ("no_limits", request_simulation.UNLIMITED_COUNT),
        ):
            goodput = measure_goodput(load, limit)
            print(f"goodput_{name}_at_{load:g}x={goodput:.3f}")
    for name, fair in (("told_apart", True), ("as_one", False)):
        print(f"small_team_success_{name}={measure_flood(fair):.3f}")
    for name, value in measure_outage().items():
        print(f"outage_{name}={value:.3f}")
    for name, cost_us in measure_costs().items():
        print(f"processor_us_{name}={cost_us:.1f}")


if __name__ == "__main__":
    main()
