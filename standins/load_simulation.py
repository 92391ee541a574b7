"""Simulates callers, entries and engines under a load and counts the outcomes.

Entries choose engines, queue and refuse requests with the product's own code; only the
network and the engines are simulated. Policies are compared here in virtual time and
with seeds, before they are measured on the users' bench.
"""

import itertools
import random
from collections.abc import Callable

from twisted.internet import task

from standins import (
    caller_check,
    crash_check,
    leave_check,
    load_profiles,
    simulated_cluster,
    simulated_prompts,
    simulated_request,
    version_check,
    virtual_clock,
)
from toucanspread.core import data
from toucanspread.core.entry import priority_rules

MEMBERSHIP_DELAY_S = 1.0  # until entries know of an added or removed one
MAINTENANCE_INTERVAL_S = 0.25  # of an entry's view of the engines
LEAVING_DURATION_S = 6.0  # an entry out of use ends with its last request


class LoadSimulation(simulated_request.AbstractCallers):
    """A simulation of one load profile with one seed."""

    def __init__(self, profile: load_profiles.LoadProfile, seed: int):
        self.clock = virtual_clock.VirtualClock()
        self.seed = seed
        self.random_source = random.Random(seed)
        self.crash_random_source = random.Random(f"{seed}/crashes")
        self.outcome = simulated_request.CallerTotals()
        self.crashing_outcome = simulated_request.CallerTotals()
        self._loss_random_source = random.Random(f"{seed}/losses")
        self._learning_random_source = random.Random(f"{seed}/versions")
        self.crash_check = crash_check.CrashCheck()
        change = profile.version_change
        within_s = change.within_s if change is not None else float("inf")
        self.version_check = version_check.VersionCheck(within_s)
        self.engine_link = profile.engine_link
        self.entry_ttl_s = profile.entry_ttl_s
        self.retry_allowance = profile.retry_allowance
        self.caller_check = caller_check.CallerCheck(self.crash_check)
        self.leave_check = leave_check.LeaveCheck()
        self.slot_count = profile.slots
        self.priorities = None
        if profile.has_priorities:
            self.priorities = priority_rules.PriorityRules(
                load.kind.priority for load in profile.kind_loads
            )
        self._prompt_source = simulated_prompts.PromptSource(seed)
        self._request_numbers = itertools.count()
        self._profile = profile
        self.entries = [
            simulated_cluster.SimulatedEntry(self, number, profile.entries)
            for number in range(profile.entries)
        ]
        self._next_entry_number = profile.entries
        engine_count = int(max(count for _, count in profile.engines))
        self.engines = [
            simulated_cluster.SimulatedEngine(self, number)
            for number in range(engine_count)
        ]
        self.engines_by_id = {engine.engine_id: engine for engine in self.engines}

    def run(self) -> simulated_request.CallerTotals:
        """Run the simulation to its end and return the outcomes."""
        for from_s, count in self._profile.engines:
            self.clock.callLater(from_s, self._set_engines, int(count))
        for change in self._profile.limits:
            self.clock.callLater(change.at_s, self.name_limit, change)
        for period in self._profile.rejections:
            self.clock.callLater(period.at_s, self._reject_for_a_time, period)
        for departure in self._profile.departures:
            self.clock.callLater(departure.at_s, self._let_leave, departure)
        if self._profile.version_change is not None:
            at_s = self._profile.version_change.at_s
            self.clock.callLater(at_s, self._name_version)
        for crashes in self._profile.engine_crashes:
            self.clock.callLater(crashes.at_s, self._crash_engines, crashes)
        for freeze in self._profile.engine_freezes:
            self.clock.callLater(freeze.at_s, self._freeze_engines, freeze)
        for silence in self._profile.silent_sidecars:
            self.clock.callLater(silence.at_s, self._silence_sidecars, silence)
        for engine in self.engines:
            if engine.switch_at_s is not None:
                self.clock.callLater(engine.switch_at_s, engine.receive, engine.switch)
        for number, engine in enumerate(self.engines):
            offset_s = simulated_cluster.REPORT_INTERVAL_S * number / len(self.engines)
            reporting = task.LoopingCall(engine.report)
            reporting.clock = self.clock
            self.clock.callLater(
                offset_s, reporting.start, simulated_cluster.REPORT_INTERVAL_S
            )
        if self.entry_ttl_s is not None:
            maintenance = task.LoopingCall(self._drop_removed_engines)
            maintenance.clock = self.clock
            maintenance.start(MAINTENANCE_INTERVAL_S)
        for load in self._profile.kind_loads:
            self.clock.callLater(0.0, self._send_next_of_kind, load)
        if not self._profile.kind_loads:
            self.clock.callLater(0.0, self._send_next_request)
        for crashing in self._profile.crashing_parts:
            self.clock.callLater(crashing.from_s, self._send_next_crashing, crashing)
        end_s = self._profile.duration_s + simulated_request.REQUEST_TIMEOUT_S
        while self.clock.seconds() < end_s:
            wait_s = self.clock.next_due_s - self.clock.seconds()
            self.clock.advance(max(wait_s, 0.0))
        return self.outcome

    def list_violations(self) -> list[str]:
        """Return what broke a rule about crashes, or about what an engine has said."""
        violations = list(self.crash_check.list_violations())
        for engine in self.engines:
            for record in (engine.limit, engine.backoff, engine.leaving):
                violations += [f"{engine.engine_id}: {v}" for v in record.violations]
        return violations

    def call_after_delay(
        self, source: data.ZoneName, target: data.ZoneName, call: Callable, *arguments
    ) -> None:
        """Call a function after the network delay between two zones."""
        delay_s = (
            simulated_cluster.SAME_REGION_DELAY_S
            if source == target
            else simulated_cluster.OTHER_REGION_DELAY_S
        )
        self.clock.callLater(delay_s, call, *arguments)

    def broadcast(
        self,
        source: data.ZoneName,
        method: str,
        message: data.Record,
        sender: simulated_cluster.SimulatedEntry | None = None,
        only_own_zone: bool = False,
    ) -> None:
        """Send a datagram to the entries, except to its sender."""
        if sender is not None and (sender.is_cut or sender.is_stopped):
            return
        for zone in [source] if only_own_zone else simulated_cluster.ZONES:
            receivers = [
                entry
                for entry in self.entries
                if entry.zone == zone and entry is not sender
            ]
            self.call_after_delay(
                source, zone, self._deliver, receivers, method, message
            )

    def draw_id(self) -> str:
        """Return an id that no other request has."""
        return str(next(self._request_numbers))

    def name_limit(self, change: load_profiles.LimitChange) -> None:
        """Let some engines name a limit in their answers, or none any more."""
        for engine in self.engines[: change.engine_count]:
            engine.limit.change(self.clock.seconds(), change.limit_per_s)

    def _reject_for_a_time(self, period: load_profiles.RejectionPeriod) -> None:
        for number in period.engine_numbers:
            self.engines[number].reject(period.duration_s, period.backoff_s)

    def _let_leave(self, departure: load_profiles.EngineDeparture) -> None:
        for number in departure.engine_numbers:
            self.engines[number].leave(departure.duration_s)

    def _name_version(self) -> None:
        """Name the next version of the weights; each entry learns of it."""
        version = simulated_cluster.FIRST_VERSION + 1
        change = self._profile.version_change
        now_s = self.clock.seconds()
        self.version_check.record_named(now_s, version)
        for entry in self.entries:
            learns_in_s = self._learning_random_source.uniform(
                0.0, change.learned_within_s
            )
            self.clock.callLater(
                learns_in_s, entry.learn_version, version, change.within_s, now_s
            )
        for engine in self.engines:
            if engine.sidecar is not None:
                engine.sidecar.request_version(version)

    def _drop_removed_engines(self) -> None:
        for entry in self.entries:
            entry.registry.drop_removed(self.clock.seconds())

    def add_entry(self) -> None:
        """Add an entry; the others learn of it after a while."""
        number, self._next_entry_number = (
            self._next_entry_number,
            self._next_entry_number + 1,
        )
        self._start_entry(number)

    def remove_entry(self, entry: simulated_cluster.SimulatedEntry) -> None:
        """Take an entry out of use; its requests go on."""
        self.entries.remove(entry)
        self.clock.callLater(LEAVING_DURATION_S, entry.stop)
        self._announce_entry_count()

    def restart_entry(self, entry: simulated_cluster.SimulatedEntry) -> None:
        """Replace an entry by a new one that knows nothing of before."""
        self.entries.remove(entry)
        entry.stop()
        self.crash_check.contact.lose(entry)
        self._start_entry(entry.number)

    def begin_cut(self, entry: simulated_cluster.SimulatedEntry) -> None:
        """Cut an entry from the other processes."""
        entry.is_cut = True
        self.crash_check.contact.lose(entry)

    def end_cut(self, entry: simulated_cluster.SimulatedEntry) -> None:
        """Let messages from and to an entry arrive again."""
        entry.is_cut = False
        self.crash_check.contact.regain(self.clock.seconds(), entry)

    def _start_entry(self, number: int) -> None:
        entry = simulated_cluster.SimulatedEntry(self, number, len(self.entries) + 1)
        for engine in self.engines:
            if engine.is_running:
                entry.registry.put(engine.entry)
        self.entries.append(entry)
        self.crash_check.contact.regain(self.clock.seconds(), entry)
        self._announce_entry_count()

    def _announce_entry_count(self) -> None:
        for entry in self.entries:
            self.clock.callLater(
                MEMBERSHIP_DELAY_S, entry.apply_entry_count, len(self.entries)
            )

    def choose_entry(self) -> simulated_cluster.SimulatedEntry:
        """Return the entry that a caller uses."""
        return self.random_source.choice(self.entries)

    def sending_delay_s(self, number: int) -> float:
        """Return the additional delay of all that is sent to an engine."""
        delayed = self._profile.delayed_engine_numbers
        if delayed is not None and number not in delayed:
            return 0.0
        return self._profile.engine_link_delay_s

    def switch_at_s(self, number: int) -> float | None:
        """Return the time at which an engine switches to the new version."""
        times_s = self._profile.switch_times_s
        if not times_s:
            return None
        # Engines of each zone are spread over the groups.
        group = number // len(simulated_cluster.ZONES) + number % len(
            simulated_cluster.ZONES
        )
        return times_s[group % len(times_s)]

    def _set_engines(self, count: int) -> None:
        for number, engine in enumerate(self.engines):
            if number < count and not engine.is_running:
                engine.start()
            elif number >= count and engine.is_running:
                engine.stop()

    def _crash_engines(self, crashes: load_profiles.EngineCrashes) -> None:
        self.crash_check.record_disturbance(self.clock.seconds())
        for number in crashes.engine_numbers:
            self.engines[number].crash(crashes.duration_s)

    def _freeze_engines(self, freeze: load_profiles.EngineFreeze) -> None:
        for number in freeze.engine_numbers:
            self.engines[number].freeze(freeze.duration_s)

    def _silence_sidecars(self, silence: load_profiles.EngineFreeze) -> None:
        for number in silence.engine_numbers:
            self.engines[number].silence_sidecar(silence.duration_s)

    def _send_next_request(self) -> None:
        now_s = self.clock.seconds()
        if now_s >= self._profile.duration_s:
            return
        self.outcome.request_count += 1
        self._send(self._prompt_source.draw_sound())
        rate_per_s = load_profiles.get_step_value(self._profile.rates_per_s, now_s)
        self.clock.callLater(
            self.random_source.expovariate(rate_per_s), self._send_next_request
        )

    def _send_next_of_kind(self, load: load_profiles.KindLoad) -> None:
        now_s = self.clock.seconds()
        if now_s >= self._profile.duration_s:
            return
        self.outcome.request_count += 1
        prompt = self._prompt_source.draw_sound()
        simulated_request.SimulatedRequest(
            self, self.choose_entry(), load.kind, prompt, can_retry=True
        ).start()
        rate_per_s = load_profiles.get_step_value(load.rates_per_s, now_s)
        self.clock.callLater(
            self.random_source.expovariate(rate_per_s), self._send_next_of_kind, load
        )

    def _send_next_crashing(self, crashing: load_profiles.CrashingPart) -> None:
        until_s = min(crashing.until_s, self._profile.duration_s)
        if self.clock.seconds() >= until_s:
            return
        outcome = self.crashing_outcome if crashing.crashes_engines else self.outcome
        outcome.request_count += 1
        self._send(self._prompt_source.draw_crashing(crashing), crashing.route)
        interval_s = self._prompt_source.draw_interval_s(crashing.rate_per_s)
        self.clock.callLater(interval_s, self._send_next_crashing, crashing)

    def _deliver(
        self,
        receivers: list[simulated_cluster.SimulatedEntry],
        method: str,
        message: data.Record,
    ) -> None:
        loss_ratio = self._profile.loss_ratio
        for entry in receivers:
            if entry.is_cut:
                continue
            if loss_ratio and self._loss_random_source.random() < loss_ratio:
                continue
            getattr(entry, method)(message)

    def _send(self, prompt: simulated_prompts.Prompt, route: str | None = None) -> None:
        """Send a request with a prompt to an entry.

        :param route: name of its kind; None for any.
        """
        kind = self.random_source.choices(
            load_profiles.REQUEST_KINDS,
            [kind.share for kind in load_profiles.REQUEST_KINDS],
        )[0]
        if route is not None:
            kind = load_profiles.get_request_kind(route)
        simulated_request.SimulatedRequest(
            self, self.choose_entry(), kind, prompt, can_retry=True
        ).start()
