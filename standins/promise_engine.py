"""Engines of a simulated site, whose links carry requests and pieces of weights."""

import abc
import dataclasses
import json
import random
from collections.abc import Callable

from standins import (
    engine_model,
    link_simulation,
    promise_check,
    promise_entry,
    simulated_cluster,
)
from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import decisions, region_rules
from toucanspread.platform import decoding

LINK_MBPS = 4.7
NARROW_LINK_MBPS = 1.2
NARROW_SHARE = 0.2  # of the engines
REPORT_INTERVAL_S = 0.5
SWITCH_S = 0.3
PIECES_AT_A_TIME = 2
PIECE_TIMEOUT_S = 3.0
MAX_ORIGIN_DELAY_S = 5.0  # until entries have the pieces of a new version
ANSWER_DELAY_S = 0.003


class DispatchListener(abc.ABC):
    """Gets what an engine answers to a dispatch."""

    @abc.abstractmethod
    def on_failure(
        self, dispatch: "Dispatch", failure: decisions.DispatchFailure
    ) -> None:
        """Handle the failure of a dispatch at its engine."""

    @abc.abstractmethod
    def on_begun(self, dispatch: "Dispatch") -> None:
        """Handle the first event of an answer."""

    @abc.abstractmethod
    def on_end(self, dispatch: "Dispatch") -> None:
        """Handle the end of an answer."""


@dataclasses.dataclass(eq=False)
class Dispatch:
    """One dispatch of a request to an engine.

    :ivar entry: the entry that sends the request.
    :ivar allowed_regions: where the request may be served; None for all regions.
    :ivar assigned_s: time at which the entry chose the engine.
    :ivar sent_s: time at which the request left the entry.
    :ivar arrived_s: time at which it reached the engine.
    :ivar closed_s: time at which the entry closed its connection.
    """

    listener: DispatchListener
    entry: promise_entry.PromiseEntry
    engine: "PromiseEngine"
    allowed_regions: region_rules.Regions | None = None
    assigned_s: float | None = None
    sent_s: float | None = None
    arrived_s: float | None = None
    closed_s: float | None = None
    job: engine_model.Job | None = None


class EngineSite(abc.ABC):
    """What engines need of the site."""

    network: link_simulation.Network
    random_source: random.Random
    entries: dict[str, promise_entry.PromiseEntry]

    @abc.abstractmethod
    def write_engine(self, engine: "PromiseEngine", value: bytes | None) -> None:
        """Write the record of an engine to the store, or delete it."""

    @abc.abstractmethod
    def check_arrival(self, dispatch: Dispatch) -> None:
        """Check that an engine may still get a request."""

    @abc.abstractmethod
    def check_begin(self, dispatch: Dispatch) -> None:
        """Check that an engine may begin a request on its version."""


class PromiseEngine:
    """An engine and its instance.

    :ivar version: version of its weights.
    :ivar leaving_since_s: time of the acknowledgement that it is draining or gone.
    :ivar is_gone: whether it has ended.
    :ivar cold_until_s: time until which it bears only a few requests.
    :ivar recent: the requests that reached it in the last second.
    :ivar is_narrow: whether its link has little bandwidth.
    """

    def __init__(self, site: EngineSite, number: int, zone: data.ZoneName, version=1):
        self.engine_id = f"i-{number}"
        self.zone = zone
        self.version = version
        self.leaving_since_s: float | None = None
        self.cold_until_s = float("-inf")
        self.recent = promise_check.RecentArrivals()
        self.is_narrow = site.random_source.random() < NARROW_SHARE
        self._site = site
        self._loop = site.network.loop
        self._random = site.random_source
        self._is_loading = False
        self.is_gone = False
        self._jobs: dict[Dispatch, None] = {}
        self._begun: set[Dispatch] = set()
        self._newest = version
        self._missing: set[int] = set()
        self._link_delay_s = 0.0
        mbps = NARROW_LINK_MBPS if self.is_narrow else LINK_MBPS
        address = f"10.0.{number // 200}.{number % 200 + 1}:80"
        self.machine = site.network.add_machine(address, mbps)
        self.model = engine_model.EngineModel(site.network.reactor)

    def start(self, cold_s: float = 0.0) -> None:
        """Write the record, and send load reports from now on.

        :param cold_s: how long it bears only a few requests.
        """
        self.cold_until_s = self._loop.time() + cold_s
        self._write("ready")
        self._loop.call_later(self._random.random() * REPORT_INTERVAL_S, self._report)

    def become_cold(self, cold_s: float, written_in_s: float) -> None:
        """Become cold, which its record says only later."""
        self.cold_until_s = self._loop.time() + cold_s
        self._loop.call_later(written_in_s, self._write_cold)

    def _write_cold(self) -> None:
        if self.leaving_since_s is None:
            self._write("ready")

    def drain(self, gone_after_s: float) -> None:
        """Announce that the engine leaves, and end it later."""
        if self.leaving_since_s is None:
            self._write("draining")
            self.leaving_since_s = self._loop.time()
            self._loop.call_later(gone_after_s, self.end)

    def end(self) -> None:
        """End the engine; its record is deleted."""
        if self.is_gone:
            return
        self.is_gone = True
        self._fail_all()
        self._site.write_engine(self, None)
        if self.leaving_since_s is None:
            self.leaving_since_s = self._loop.time()

    def narrow(self, mbps: float) -> Callable[[], None]:
        """Give the link another bandwidth; return how to undo that."""
        before_mbps = self.machine.downlink.mbps
        self.machine.downlink.mbps = mbps

        def undo():
            self.machine.downlink.mbps = before_mbps

        return undo

    # Requests

    def receive(self, dispatch: Dispatch) -> None:
        """Accept or reject a request that has arrived."""
        dispatch.arrived_s = self._loop.time()
        if self.is_gone:
            failure = decisions.DispatchFailure.NOT_CONNECTED
            dispatch.listener.on_failure(dispatch, failure)
        self._site.check_arrival(dispatch)
        if self.is_gone:
            return
        if self._is_loading or not self.model.submit(dispatch.job):
            failure = decisions.DispatchFailure.REJECTED
            dispatch.listener.on_failure(dispatch, failure)
            return
        self._jobs[dispatch] = None

    def cancel(self, dispatch: Dispatch) -> None:
        """Drop a request whose connection was closed."""
        self.model.cancel(dispatch.job)
        self._jobs.pop(dispatch, None)

    def on_event(self, dispatch: Dispatch) -> None:
        """Check the begin of an answer at its first event."""
        if dispatch.job.generated_tokens > engine_model.TOKENS_PER_EVENT:
            return
        self._site.check_begin(dispatch)
        dispatch.listener.on_begun(dispatch)

    def on_end(self, dispatch: Dispatch) -> None:
        """Handle the last event of an answer."""
        self._jobs.pop(dispatch, None)
        dispatch.listener.on_end(dispatch)

    def _fail_all(self) -> None:
        failed, self._jobs = self._jobs, {}
        for dispatch in failed:
            self.model.cancel(dispatch.job)
            failure = decisions.DispatchFailure.BROKEN
            dispatch.listener.on_failure(dispatch, failure)

    # Weights

    def fetch(self, version: int) -> None:
        """Fetch the pieces of a version, then load it."""
        self._newest = version
        self._missing = set(range(simulated_cluster.PROFILE.chunks))
        delay_s = self._random.uniform(0.2, MAX_ORIGIN_DELAY_S)
        for _ in range(PIECES_AT_A_TIME):
            self._loop.call_later(delay_s, self._fetch_piece, version)

    def _fetch_piece(self, version: int) -> None:
        if version != self._newest or self.is_gone or not self._missing:
            return
        number = self._random.choice(sorted(self._missing))
        zone = [e for e in self._site.entries.values() if e.zone == self.zone]
        entry = self._random.choice(zone)
        is_pending = True
        requested_s = self._loop.time()

        def receive():
            nonlocal is_pending
            if is_pending:
                is_pending = False
                self._link_delay_s = self._loop.time() - requested_s
                self._add_piece(version, number)

        def give_up():
            nonlocal is_pending
            if is_pending:
                is_pending = False
                self._fetch_piece(version)

        size_bytes = simulated_cluster.PROFILE.chunk_bytes
        self._site.network.send_message(
            entry.machine, self.machine, size_bytes, receive
        )
        self._loop.call_later(PIECE_TIMEOUT_S, give_up)

    def _add_piece(self, version: int, number: int) -> None:
        if version != self._newest or not self._missing:
            return
        self._missing.discard(number)
        if self._missing:
            self._fetch_piece(version)
            return
        self._is_loading = True
        self._fail_all()
        self._loop.call_later(SWITCH_S, self._finish_switch, version)

    def _finish_switch(self, version: int) -> None:
        self._is_loading = False
        self.version = version

    # Records and reports

    def _write(self, state: str) -> None:
        now_s = self._loop.time()
        value = {
            "service": simulated_cluster.SERVICE.name,
            "address": self.machine.address,
            "zone": self.zone,
            "version": "v1",
            "slots": engine_model.SLOT_COUNT,
            "state": state,
            "cold_left_ms": max(int((self.cold_until_s - now_s) * 1000), 0),
            "models": [
                {"name": simulated_cluster.PROFILE.model, "version": self.version}
            ],
            "sequence": 0,
        }
        self._site.write_engine(self, json.dumps(value).encode())

    def _report(self) -> None:
        if self.is_gone:
            return
        self._loop.call_later(REPORT_INTERVAL_S, self._report)
        load = entry_data.EngineLoad(
            data.Address(self.machine.address),
            0,
            self.model.active,
            self.model.queued,
            self.version,
            self._is_loading,
            link_delay_s=self._link_delay_s if self._missing else 0.0,
        )
        self._loop.call_later(ANSWER_DELAY_S, self._deliver, load)

    def _deliver(self, load: entry_data.EngineLoad) -> None:
        for entry in self._site.entries.values():
            if not entry.machine.is_cut:
                entry.cluster.apply_report(load, self._loop.time())


def make_key(engine_id: str) -> str:
    """Return the key of an engine's record in the store."""
    return f"{decoding.ENGINES_PREFIX}{engine_id}"
