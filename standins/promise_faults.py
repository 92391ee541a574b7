"""Faults and changes at a simulated site, in series and overlapping, from a seed."""

import random
from collections.abc import Callable

from standins import promise_check, promise_engine, promise_simulation
from toucanspread.core import data

BURST_COUNT = 20
BURST_S = 5.0
SCHEDULE_S = 16.0
CALM_S = 6.0  # without new faults, at the end
MIN_EVACUATION_S = 6.0
MAX_EVACUATION_S = 14.0
ENGINES_DOWN_S = 2.0
BURST_FACTORS = (1.8, 2.6)
UNLISTED_PART = 6  # one of so many entries loses its record
MAX_UNLISTED_S = 3.0
MORE_REQUESTS_S = 6.3
STEADY_CHANGES_S = 1.5  # mean time between changes outside of bursts


class HardLoadSchedule:
    """Draws evacuations, restarts of all engines of a zone, and bursts of requests.

    They have their own random source, so that the faults of :class:`FaultSchedule` are
    the same with and without them.

    :param site: the site.
    """

    def __init__(self, site: promise_simulation.Site, seed: int):
        self._site = site
        self._random = random.Random(f"hard load/{seed}")

    def start(self) -> None:
        """Draw what happens in the time that follows."""
        self._site.has_restricted_route = True
        evacuated = self._random.choice(self._site.zones)
        evacuated_in_s = self._random.uniform(0, SCHEDULE_S / 4)
        duration_s = self._random.uniform(MIN_EVACUATION_S, MAX_EVACUATION_S)
        loop = self._site.loop
        loop.call_later(evacuated_in_s, self._evacuate, evacuated, duration_s)
        for _ in range(self._random.randint(1, 3)):
            in_s = self._random.uniform(0, SCHEDULE_S)
            loop.call_later(in_s, self._restart_engines)
            # Cold engines come back at the same time.
            loop.call_later(in_s + ENGINES_DOWN_S, self._unlist_entries)
        for _ in range(2):
            in_s = self._random.uniform(0, SCHEDULE_S)
            loop.call_later(in_s, self._send_more, self._random.choice(BURST_FACTORS))

    def _evacuate(self, zone: data.ZoneName, duration_s: float) -> None:
        if self._site.active_faults["store down"]:
            self._site.loop.call_later(1.0, self._evacuate, zone, duration_s)
            return
        self._log(f"{zone} evacuated for {duration_s:.2f}")
        self._site.evacuate(zone)
        self._site.loop.call_later(duration_s, self._take_back, zone)

    def _take_back(self, zone: data.ZoneName) -> None:
        if self._site.active_faults["store down"]:
            self._site.loop.call_later(1.0, self._take_back, zone)
            return
        self._log(f"{zone} taken back")
        self._site.take_back(zone)

    def _restart_engines(self) -> None:
        zone = self._random.choice(self._site.zones)
        # The engines of another zone may be down already.
        staying = [e for e in self._site.list_staying_engines() if e.zone != zone]
        if self._site.active_faults["store down"] or not staying:
            return
        self._log(f"engines of {zone} restarted")
        self._site.restart_engines(zone, ENGINES_DOWN_S)

    def _unlist_entries(self) -> None:
        """Let the lists of entries differ while the changes are on their way."""
        if self._site.active_faults["store down"]:
            return
        names = list(self._site.entries)
        chosen = self._random.sample(names, len(names) // UNLISTED_PART)
        self._log(f"without records: {', '.join(chosen)}")
        for name in chosen:
            self._site.unlist_entry(name)
            in_s = self._random.uniform(0, MAX_UNLISTED_S)
            self._site.loop.call_later(in_s, self._site.list_entry, name)

    def _send_more(self, factor: float) -> None:
        self._log(f"{factor} times as many requests for {MORE_REQUESTS_S}")
        self._site.request_factor *= factor
        self._site.loop.call_later(MORE_REQUESTS_S, self._send_less, factor)

    def _send_less(self, factor: float) -> None:
        self._site.request_factor /= factor

    def _log(self, text: str) -> None:
        self._site.faults.append(f"{self._site.now_s:.2f} {text}")


class FaultSchedule:
    """Draws what happens at a site, and makes it happen.

    :param site: the site.
    """

    def __init__(self, site: promise_simulation.Site, seed: int):
        self._site = site
        self._random = random.Random(f"faults/{seed}")

    def start(self) -> None:
        """Draw faults and changes for the time that follows."""
        half_s = SCHEDULE_S / 2
        for number in range(self._random.randint(1, 2)):
            in_half_s = self._random.uniform(0, half_s - BURST_S)
            self._schedule(number * half_s + in_half_s, self._burst)
        self._change_now_and_then()
        self._schedule(self._random.uniform(0, half_s), self._name_version)
        for _ in range(self._random.randint(1, 3)):
            self._schedule(self._random.uniform(0, SCHEDULE_S), self._leave)
        kinds: list[Callable] = [
            self._refuse_third,
            self._silence_leader,
            self._restart_leader,
            self._cut_one,
            self._narrow_engine_link,
        ]
        for _ in range(self._random.randint(3, 8)):
            at_s = self._random.uniform(0, SCHEDULE_S - 4.0)
            self._schedule(at_s, self._random.choice(kinds))
        if self._random.random() < 0.25:
            self._schedule(self._random.uniform(0, SCHEDULE_S / 2), self._stop_store)

    def _schedule(self, in_s: float, call: Callable) -> None:
        self._site.loop.call_later(in_s, call)

    def _change_now_and_then(self) -> None:
        if not self._site.active_faults["burst"]:
            self._change()
        self._schedule(
            self._random.expovariate(1 / STEADY_CHANGES_S), self._change_now_and_then
        )

    def _change(self) -> None:
        # A store that is down acknowledges nothing.
        if not self._site.active_faults["store down"]:
            self._site.change_configuration()

    def _name_version(self) -> None:
        if self._site.active_faults["store down"]:
            self._schedule(1.0, self._name_version)
            return
        self._site.faults.append(f"{self._site.now_s:.2f} version named")
        self._site.name_version()

    def _leave(self) -> None:
        """Let an engine leave, announced or not; another one takes its place."""
        if self._site.active_faults["store down"]:
            return
        engine = self._random.choice(self._site.list_staying_engines())
        if self._random.random() < 0.7:
            engine.drain(self._random.uniform(2.0, 6.0))
        else:
            engine.end()
        self._site.add_engine()

    def _burst(self) -> None:
        self._begin("burst", BURST_S, lambda: None)
        for number in range(BURST_COUNT):
            in_s = number * BURST_S / BURST_COUNT
            self._schedule(in_s, self._change)

    def _refuse_third(self) -> None:
        machines = [entry.machine.address for entry in self._site.entries.values()]
        chosen = set(self._random.sample(machines, len(machines) // 3))
        # The leaders are those whose place others have to take.
        for zone in self._site.zones:
            if self._random.random() < 0.5:
                chosen.add(self._site.leader_of(zone).machine.address)
        self._site.store.refused |= chosen

        def undo():
            self._site.store.refused -= chosen

        self._begin("refused", self._random.uniform(1.0, 7.0), undo)

    def _stop_store(self) -> None:
        machine = self._site.store.machine
        handle, machine.handle = machine.handle, None
        self._site.disturbances.begin(promise_check.STORE)

        def undo():
            machine.handle = handle
            self._site.disturbances.end(promise_check.STORE, self._site.now_s)

        self._begin("store down", self._random.uniform(0.5, 4.0), undo)

    def _silence_leader(self) -> None:
        entry = self._draw_leader()
        entry.machine.handle = None
        self._site.disturbances.begin(entry.name)

        def undo():
            entry.machine.handle = entry.handle_request
            self._site.disturbances.end(entry.name, self._site.now_s)

        self._begin(f"{entry.name} silent", self._random.uniform(0.5, 6.0), undo)

    def _restart_leader(self) -> None:
        entry = self._draw_leader()
        down_s = self._random.uniform(0.3, 2.0)
        if entry.machine.is_cut:
            return
        self._site.disturbances.begin(entry.name)
        self._site.restart(entry.name, down_s)

        def undo():
            self._site.disturbances.end(entry.name, self._site.now_s)

        self._begin(f"{entry.name} killed", down_s, undo)

    def _cut_one(self) -> None:
        entry = self._random.choice(list(self._site.entries.values()))
        if entry.machine.is_cut:
            return
        entry.machine.is_cut = True
        self._site.disturbances.begin(entry.name)

        def undo():
            if self._site.entries[entry.name] is entry:
                entry.machine.is_cut = False
            self._site.disturbances.end(entry.name, self._site.now_s)

        self._begin(f"{entry.name} cut", self._random.uniform(0.5, 6.0), undo)

    def _narrow_engine_link(self) -> None:
        engine = self._random.choice(self._site.list_staying_engines())
        undo = engine.narrow(promise_engine.NARROW_LINK_MBPS)
        name = f"{engine.engine_id} narrowed"
        self._begin(name, self._random.uniform(4.0, 9.0), undo)

    def _draw_leader(self):
        return self._site.leader_of(self._random.choice(self._site.zones))

    def _begin(self, name: str, duration_s: float, undo: Callable) -> None:
        site = self._site
        site.faults.append(f"{site.now_s:.2f} {name} for {duration_s:.2f}")
        site.active_faults[name] += 1

        def end():
            site.active_faults[name] -= 1
            undo()
            before = f"{name} before"
            site.active_faults[before] += 1
            self._schedule(site.size.bounds.touch_s, lambda: forget(before))

        def forget(before: str):
            site.active_faults[before] -= 1

        self._schedule(duration_s, end)
