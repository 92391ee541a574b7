"""Simulated engines and entries; entries use the product's own view of the cluster.

:mod:`standins.simulated_request` sends the callers' requests to them, and
:mod:`standins.load_simulation` puts everything together.
"""

import abc
import functools
import random
from collections.abc import Callable

from twisted.internet import task

from standins import (
    backoff_check,
    crash_check,
    engine_leaving_check,
    engine_model,
    limit_check,
    load_profiles,
    simulated_sidecar,
    version_check,
)
from toucanspread.core import data
from toucanspread.core.entry import (
    cluster_state,
    decision_context,
    engine_requirements,
    engines,
    guard_program,
    priority_rules,
    retry_budget,
)
from toucanspread.core.entry import data as entry_data
from toucanspread.ops.forwarding import crash_notices, request_queue

ZONES = tuple(data.ZoneName(name) for name in ("a", "b", "c"))
REGIONS = {zone: data.RegionName(zone) for zone in ZONES}
# One way within and between zones of a region, from the users' figures.
SAME_REGION_DELAY_S = 0.0009
OTHER_REGION_DELAY_S = 0.0027  # one way to another region
REPORT_INTERVAL_S = 0.2
DRAIN_DURATION_S = 2.0
SWITCH_DURATION_S = 0.3
MIN_CRASH_DELAY_S = 0.012  # from the first token of an answer on a crashing part
MAX_CRASH_DELAY_S = 0.11
CRASH_DURATION_S = 3.0  # until the engine is back
PROFILE = entry_data.ModelProfile(
    data.ModelName("m"),
    16,
    48,
    49_152,
    0.3,
    read_per_s=engine_model.PREFILL_TOKENS_PER_S,
    pass_s=engine_model.DECODE_STEP_S * engine_model.TOKENS_PER_EVENT,
    pass_tokens=engine_model.TOKENS_PER_EVENT,
)
SERVICE = entry_data.Service(data.ServiceName("pool"), PROFILE)
FIRST_VERSION = 1  # of the weights
ENTRY_INTERVAL_S = 1.2  # between writes of an engine's entry in the store
ENTRY_DELAY_S = 0.3  # until all entries know of a change in the store


class EngineClient(abc.ABC):
    """Has a request at an engine."""

    @abc.abstractmethod
    def on_connection_lost(self) -> None:
        """Handle the loss of the connection to the engine."""


class EntryClient(abc.ABC):
    """Has a request at an entry."""

    @abc.abstractmethod
    def withdraw_if_outdated(self) -> None:
        """Withdraw the request if its engine could begin it on weights too old."""

    @abc.abstractmethod
    def on_entry_lost(self) -> None:
        """Handle the end of the entry that has the request."""

    @abc.abstractmethod
    def on_quarantine(self) -> None:
        """Handle the begin of a quarantine of prompts that crash engines."""


class AbstractCluster(abc.ABC):
    """The simulation that engines and entries are part of.

    :ivar entries: the entries that callers may use.
    :ivar crash_check: the check of the requests that crash engines.
    :ivar crash_random_source: for the delays of crashes.
    :ivar version_check: the check of the versions on which requests begin.
    :ivar engine_link: the links to engines' instances; None if they hold nothing up.
    :ivar entry_ttl_s: time of silence after which an engine's entry in the store
        expires; None if entries never do.
    :ivar retry_allowance: of all entries together, beside a part of the requests.
    :ivar slot_count: maximum number of running requests of each engine.
    :ivar priorities: the declared priorities; None if entries don't apply them.
    """

    clock: task.Clock
    seed: int
    crash_check: crash_check.CrashCheck
    crash_random_source: random.Random
    version_check: version_check.VersionCheck
    engine_link: load_profiles.LinkProfile | None
    entry_ttl_s: float | None
    retry_allowance: float
    entries: "list[SimulatedEntry]"
    slot_count: int = engine_model.SLOT_COUNT
    priorities: priority_rules.PriorityRules | None = None

    @abc.abstractmethod
    def sending_delay_s(self, number: int) -> float:
        """Return the additional delay of all that is sent to an engine."""

    @abc.abstractmethod
    def switch_at_s(self, number: int) -> float | None:
        """Return the time at which an engine switches to the new version."""

    @abc.abstractmethod
    def call_after_delay(
        self, source: data.ZoneName, target: data.ZoneName, call: Callable, *arguments
    ) -> None:
        """Call a function after the network delay between two zones."""

    @abc.abstractmethod
    def broadcast(
        self,
        source: data.ZoneName,
        method: str,
        message: data.Record,
        sender: "SimulatedEntry | None" = None,
        only_own_zone: bool = False,
    ) -> None:
        """Send a datagram to the entries, except to its sender."""


class SimulatedEngine:
    """An engine with its zone and its load reports.

    :ivar is_crashed: whether connections are refused until it is back.
    :ivar sending_delay_s: additional delay of all that is sent to it.
    :ivar sidecar: has the link of its instance; None if that holds nothing up.
    :ivar is_frozen: whether it stands still; what arrives then waits.
    :ivar backoff: checks what it gets while it wants no requests.
    :ivar backoff_s: the time that it names as it rejects all requests; None while it
        rejects none for this reason.
    :ivar leaving: checks what it gets once it has said that it leaves.
    :ivar is_leaving: whether it says so in its answers.
    :ivar is_sidecar_silent: whether it serves, but sends no load reports.
    """

    def __init__(self, simulation: AbstractCluster, number: int):
        self.zone = ZONES[number % len(ZONES)]
        self.engine_id = f"e{number}"
        self.model = engine_model.EngineModel(simulation.clock, simulation.slot_count)
        self.is_running = False
        self.is_loading = False
        self.is_crashed = False
        self.is_frozen = False
        self.is_sidecar_silent = False
        self._waiting: list[Callable[[], None]] = []
        self.version = FIRST_VERSION
        self.switch_at_s = simulation.switch_at_s(number)
        self.sending_delay_s = simulation.sending_delay_s(number)
        self.jobs: dict[engine_model.Job, EngineClient] = {}
        self.limit = limit_check.LimitRecord()
        self.backoff = backoff_check.BackoffRecord()
        self.backoff_s: float | None = None
        self.leaving = engine_leaving_check.LeavingRecord()
        self.is_leaving = False
        self.sidecar: simulated_sidecar.SimulatedSidecar | None = None
        if simulation.engine_link is not None:
            self.sidecar = simulated_sidecar.SimulatedSidecar(
                simulation.clock, simulation.engine_link, PROFILE
            )
        self._simulation = simulation
        self._number = number
        self._store_random_source = random.Random(f"{simulation.seed}/store/{number}")
        self._born_ms = 0

    @property
    def entry(self) -> entry_data.EngineEntry:
        """The entry of the engine in the store."""
        return entry_data.EngineEntry(
            self.engine_id,
            SERVICE.name,
            data.Address(f"10.0.0.{self._number}:1"),
            self.zone,
            self._simulation.slot_count,
            entry_data.EngineState.READY,
            self._born_ms,
            loaded=(
                entry_data.LoadedLayers(PROFILE.model, self.version, 0, PROFILE.layers),
            ),
        )

    @property
    def link_delay_s(self) -> float:
        """The seconds for which bytes to its instance are held, as measured there."""
        if self.sidecar is None:
            return self.sending_delay_s
        return self.sidecar.link_delay_s

    def start(self) -> None:
        """Start the engine, or start it again, with all layers loaded."""
        self.is_running = True
        self.is_crashed = False
        self.is_leaving = False
        self.backoff_s = None
        self.backoff.reset()
        self.leaving.reset()
        self.model = engine_model.EngineModel(
            self._simulation.clock, self._simulation.slot_count
        )
        for entry in self._simulation.entries:
            entry.registry.put(self.entry)

    def reject(self, duration_s: float, backoff_s: float) -> None:
        """Reject all requests for a time.

        :param backoff_s: time for which it wants no requests from an entry that it
            rejects.
        """
        self.backoff_s = backoff_s
        self._simulation.clock.callLater(duration_s, self._accept, self.model)

    def _accept(self, model: engine_model.EngineModel) -> None:
        if self.model is model:
            self.backoff_s = None

    def leave(self, duration_s: float) -> None:
        """Say in all answers that it leaves, and end after a time."""
        self.is_leaving = True
        self._simulation.clock.callLater(duration_s, self._end, self.model)

    def _end(self, model: engine_model.EngineModel) -> None:
        if self.model is model and self.is_running:
            self.stop()

    def switch(self) -> None:
        """Interrupt the running requests and load the new version."""
        self.is_loading = True
        if self.sidecar is not None:
            self.sidecar.on_switched()
        self._fail_jobs()
        self._simulation.clock.callLater(SWITCH_DURATION_S, self._finish_switch)

    def _finish_switch(self) -> None:
        self.is_loading = False
        self.switch_at_s = None
        self.version += 1
        self._write_entry_soon()

    def order_switch(self, in_s: float) -> None:
        """Announce a switch, and switch then unless the engine was restarted."""
        self.switch_at_s = self._simulation.clock.seconds() + in_s
        self._simulation.clock.callLater(in_s, self._switch_by_order, self.model)

    def _switch_by_order(self, model: engine_model.EngineModel) -> None:
        if self.model is not model or self.is_crashed or not self.is_running:
            self.switch_at_s = None
            return
        self.switch()

    def begin_answer(
        self, part: entry_data.PromptPartId, first_token_in_s: float = 0.0
    ) -> None:
        """Begin to write an answer on a crashing part, and crash soon after.

        :param first_token_in_s: time until the first token of the answer.
        """
        delay_s = first_token_in_s + self._simulation.crash_random_source.uniform(
            MIN_CRASH_DELAY_S, MAX_CRASH_DELAY_S
        )
        self._simulation.clock.callLater(delay_s, self._crash_on, self.model, part)

    def freeze(self, duration_s: float) -> None:
        """Stand still for a time, with the sidecar."""
        self.is_frozen = True
        self.model.stand_still(duration_s)
        self._simulation.clock.callLater(duration_s, self._thaw)
        if self._simulation.entry_ttl_s is not None:
            written_s = self._store_random_source.uniform(0.0, ENTRY_INTERVAL_S)
            left_s = self._simulation.entry_ttl_s - written_s
            self._simulation.clock.callLater(left_s, self._expire_entry)

    def _expire_entry(self) -> None:
        if not self.is_frozen:
            return
        now_s = self._simulation.clock.seconds()
        self._change_registries("remove", self.engine_id, now_s)

    def _write_entry_soon(self) -> None:
        """Write the entry of the engine in the store, as it does at an interval."""
        wait_s = self._store_random_source.uniform(0.0, ENTRY_INTERVAL_S)
        self._simulation.clock.callLater(wait_s, self._write_entry)

    def _write_entry(self) -> None:
        if self.is_frozen or self.is_crashed or not self.is_running:
            return
        self._change_registries("put", self.entry)

    def _change_registries(self, method: str, *arguments) -> None:
        """Change the entries' views, each when it learns of the change."""
        for entry in self._simulation.entries:
            self._simulation.clock.callLater(
                self._store_random_source.uniform(0.0, ENTRY_DELAY_S),
                getattr(entry.registry, method),
                *arguments,
            )

    def _thaw(self) -> None:
        self.is_frozen = False
        self._write_entry_soon()
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            call()

    def silence_sidecar(self, duration_s: float) -> None:
        """Send no load reports for a time."""
        self.is_sidecar_silent = True
        self._simulation.clock.callLater(duration_s, self._regain_sidecar)

    def _regain_sidecar(self) -> None:
        self.is_sidecar_silent = False

    def receive(self, call: Callable, *arguments) -> None:
        """Process what has arrived, once the engine does not stand still."""
        if self.is_frozen:
            self._waiting.append(functools.partial(call, *arguments))
        else:
            call(*arguments)

    def crash(self, duration_s: float = CRASH_DURATION_S) -> None:
        """Crash, unless the engine is down.

        :param duration_s: time until it is back as a new incarnation.
        """
        if self.is_crashed or not self.is_running:
            return
        self.is_crashed = True
        self._fail_jobs()
        self.model.cancel_all()
        self._simulation.clock.callLater(duration_s, self._return, self.model)

    def _crash_on(
        self, model: engine_model.EngineModel, part: entry_data.PromptPartId
    ) -> None:
        if self.model is not model or self.is_crashed or not self.is_running:
            return
        self._simulation.crash_check.record_crash(
            self._simulation.clock.seconds(), part
        )
        self.crash()

    def _return(self, model: engine_model.EngineModel) -> None:
        """Return as a new incarnation, unless the engine was stopped meanwhile."""
        if self.model is not model or not self.is_running:
            return
        self.start_anew()

    def start_anew(self) -> None:
        """Start as a new incarnation."""
        self._born_ms = round(self._simulation.clock.seconds() * 1000)
        self.start()

    def _fail_jobs(self) -> None:
        failed, self.jobs = self.jobs, {}
        for job in failed:
            self.model.cancel(job)
        for request in failed.values():
            request.on_connection_lost()

    def stop(self) -> None:
        """Stop the engine; its running requests fail."""
        self.is_running = False
        self._fail_jobs()
        for entry in self._simulation.entries:
            entry.registry.remove(self.engine_id, float("-inf"))
            entry.registry.drop_removed(float("inf"))

    def report(self) -> None:
        """Send a load report to all entries."""
        if not self.is_running or self.is_crashed:
            return
        if self.is_frozen or self.is_sidecar_silent:
            return
        switch_in_s = None
        is_quiet = self.is_loading
        if self.switch_at_s is not None and not self.is_loading:
            switch_in_s = self.switch_at_s - self._simulation.clock.seconds()
            is_quiet = switch_in_s <= entry_data.ORDER_QUIET_S
        load = entry_data.EngineLoad(
            self.entry.address,
            self._born_ms,
            self.model.active,
            self.model.queued,
            self.version,
            is_quiet,
            order_in_s=switch_in_s,
            link_delay_s=self.link_delay_s,
        )
        self._simulation.broadcast(self.zone, "apply_load", load)


class SimulatedEntry:
    """An entry with its view of the engines and its request queue.

    :param number: number of this entry, which a restarted one has again.
    :param entry_count: number of entries that it knows.
    :ivar is_cut: whether messages of the other processes do not arrive, nor its own.
    :ivar is_stopped: whether the process has ended, so that it sends no more messages.
    :ivar in_progress: the requests of its callers, in order of arrival.
    """

    def __init__(
        self,
        simulation: AbstractCluster,
        number: int,
        entry_count: int,
    ):
        self.number = number
        self.zone = ZONES[number % len(ZONES)]
        self.is_cut = False
        self.is_stopped = False
        self.in_progress: dict[EntryClient, None] = {}
        self._entry_count = entry_count
        self._versions = cluster_state.ModelVersions()
        self._version_within_s = 0.0
        self.registry = engines.EngineRegistry(DRAIN_DURATION_S)
        self.queue = request_queue.RequestQueue(simulation.clock)
        self.retry_budgets = retry_budget.RetryBudget(
            0.2, simulation.retry_allowance, 10.0
        )
        self.random_source = random.Random(f"{simulation.seed}/{number}")
        self._simulation = simulation
        self.crash_notices = crash_notices.CrashNotices(
            simulation.clock,
            self.random_source,
            self._list_members,
            self._send_crash_notice,
            self._on_quarantine,
        )

    def stop(self) -> None:
        """End the process, and the connections of its callers."""
        self.is_stopped = True
        for request in list(self.in_progress):
            request.on_entry_lost()

    def apply_entry_count(self, entry_count: int) -> None:
        """Apply a change of the number of entries."""
        self._entry_count = entry_count

    def learn_version(self, version: int, within_s: float, named_s: float) -> None:
        """Learn that a version of the weights was named.

        :param within_s: time within which requests must begin on it.
        """
        now_s = self._simulation.clock.seconds()
        self._version_within_s = within_s - cluster_state.VERSION_DISPATCH_MARGIN_S
        self._versions.add(version, cluster_state.ChangeTiming(now_s, named_s))
        margin_s = cluster_state.VERSION_WITHDRAWAL_MARGIN_S
        withdrawal_in_s = named_s + within_s - margin_s - now_s
        for delay_s in cluster_state.list_withdrawal_delays_s(withdrawal_in_s):
            self._simulation.clock.callLater(delay_s, self._withdraw_outdated)

    def _withdraw_outdated(self) -> None:
        for request in list(self.in_progress):
            request.withdraw_if_outdated()

    def apply_load(self, load: entry_data.EngineLoad) -> None:
        """Apply a load report."""
        alive = self.registry.apply_load(load, self._simulation.clock.seconds())
        self.crash_notices.record_alive(alive)

    def apply_crash_notice(self, notice: entry_data.CrashNotice) -> None:
        """Apply a notice of another entry on crashes of engines."""
        self.crash_notices.receive(notice)

    def apply_prompt(self, sent: entry_data.PromptSent) -> None:
        """Apply a notice of a prompt that another entry of the zone sent."""
        engine = self.registry.get(sent.engine_id)
        if engine is not None:
            engine.add_remote_prompt(
                sent.tokens, PROFILE, self._simulation.clock.seconds()
            )

    def apply_limit(self, notice: entry_data.LimitNotice) -> None:
        """Apply a notice of another entry on the limit of an engine."""
        engine = self.registry.get(notice.engine_id)
        if engine is not None:
            engine.limit.on_notice(notice, self._simulation.clock.seconds())

    def make_decision_context(self) -> decision_context.Context:
        """Return the context of decisions."""
        location = engine_requirements.EntryLocation(
            self.zone, REGIONS, self._entry_count
        )
        now_s = self._simulation.clock.seconds()
        return decision_context.Context(
            now_s,
            self.registry,
            self.retry_budgets,
            location,
            self.random_source,
            self.crash_notices.guard,
            self._versions.minimum(now_s, self._version_within_s),
            self._versions.upcoming(now_s, self._version_within_s),
            priorities=self._simulation.priorities,
        )

    def _list_members(self) -> guard_program.Members:
        names = [str(entry.number) for entry in self._simulation.entries]
        return guard_program.Members(str(self.number), names)

    def _send_crash_notice(self, notice: entry_data.CrashNotice) -> None:
        self._simulation.broadcast(self.zone, "apply_crash_notice", notice, self)

    def _on_quarantine(self) -> None:
        for request in list(self.in_progress):
            request.on_quarantine()
