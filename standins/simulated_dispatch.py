"""One dispatch of a caller's request to an engine, in a simulation of a load.

It has the job at the engine and the timer of silence. A request that moves has two.
"""

import abc
import functools

from twisted.internet import interfaces

from standins import (
    engine_model,
    simulated_cluster,
    simulated_prompts,
    simulated_sidecar,
)
from toucanspread.core.entry import decisions, engine_statement, request_timing


class DispatchOwner(abc.ABC):
    """Has the dispatch.

    :ivar prompt: of the request.
    """

    prompt: simulated_prompts.Prompt

    @abc.abstractmethod
    def make_job(self, dispatch: "SimulatedDispatch") -> engine_model.Job:
        """Return the rest of the request as a job."""

    @abc.abstractmethod
    def on_engine_head(
        self,
        dispatch: "SimulatedDispatch",
        statement: engine_statement.EngineStatement,
    ) -> None:
        """Handle what the engine says of itself in an answer."""

    @abc.abstractmethod
    def on_event(self, dispatch: "SimulatedDispatch", is_first: bool) -> None:
        """Handle an event of the stream.

        :param is_first: whether it is the first one of the dispatch.
        """

    @abc.abstractmethod
    def on_end(self, dispatch: "SimulatedDispatch") -> None:
        """Handle the end of the stream."""

    @abc.abstractmethod
    def on_failure(
        self, dispatch: "SimulatedDispatch", failure: decisions.DispatchFailure
    ) -> None:
        """Handle a failure of the dispatch."""


class SimulatedDispatch(simulated_cluster.EngineClient):
    """One dispatch of a request.

    :param number: among the dispatches of the request.
    :param entry: the entry that sends it.
    :param arrived_s: when the entry got the request.
    :param effect: the decision to send it.
    :ivar job: the job that the engine has; also after the withdrawal.
    """

    def __init__(
        self,
        simulation: simulated_cluster.AbstractCluster,
        owner: DispatchOwner,
        engine: simulated_cluster.SimulatedEngine,
        entry: simulated_cluster.SimulatedEntry,
        arrived_s: float,
        effect: decisions.SendToEngine,
    ):
        self.engine = engine
        self.number = effect.number
        self.priority = effect.priority
        self.job: engine_model.Job | None = None
        self._simulation = simulation
        self._owner = owner
        self._entry = entry
        self._arrived_s = arrived_s
        self._expected_version = effect.expected_version
        self._silence_timeout_s = effect.silence_timeout_s
        self._sent_s = 0.0
        self._has_begun = False
        self._is_withdrawn = False
        self._silence_timer: interfaces.IDelayedCall | None = None

    def start(self, size_bytes: int) -> None:
        """Send the request to the engine."""
        self._sent_s = self._simulation.clock.seconds()
        self._start_silence_timer(self._silence_timeout_s)
        self._call_at_engine(size_bytes, self._submit)

    def cancel(self) -> None:
        """Withdraw the request from the engine, which learns of it after a delay."""
        self._stop_silence_timer()
        if self._is_withdrawn:
            return
        self._is_withdrawn = True
        if self.job is not None:
            self.engine.jobs.pop(self.job, None)
            self._disregard(self.job)
        self._call_at_engine(simulated_sidecar.CLOSE_BYTES, self._drop_job)

    def on_connection_lost(self) -> None:
        """Handle the loss of the connection to the engine."""
        self.job = None
        self._fail(decisions.DispatchFailure.BROKEN)

    def _fail(self, failure: decisions.DispatchFailure) -> None:
        self._stop_silence_timer()
        self._owner.on_failure(self, failure)

    def _drop_job(self) -> None:
        if self.job is not None:
            self.engine.model.cancel(self.job)

    def _disregard(self, job: engine_model.Job) -> None:
        """Only check the begin of a job that the entry has withdrawn."""
        self.job = job
        job.on_event = functools.partial(self._on_withdrawn_event, job)
        job.on_end = _do_nothing

    def _on_withdrawn_event(self, job: engine_model.Job) -> None:
        """Check a begin of which the engine has not learned that it is not wanted."""
        if job.generated_tokens > engine_model.TOKENS_PER_EVENT:
            return
        now_s = self._simulation.clock.seconds()
        self._simulation.version_check.record_begin(now_s, self.engine.version)

    def _call_at_engine(self, size_bytes: int, call) -> None:
        """Call a function once bytes that are sent now have arrived at the engine."""
        arguments = (call,)
        call = self.engine.receive
        if self.engine.sidecar is not None:
            arguments = (size_bytes, self.engine.receive, *arguments)
            call = self.engine.sidecar.link.send
        self._simulation.clock.callLater(
            self.engine.sending_delay_s,
            self._simulation.call_after_delay,
            self._entry.zone,
            self.engine.zone,
            call,
            *arguments,
        )

    def _submit(self) -> None:
        engine = self.engine
        now_s = self._simulation.clock.seconds()
        is_open = engine.is_running and not engine.is_loading
        is_open = is_open and engine.backoff_s is None
        if engine.is_running and not engine.is_crashed:
            engine.backoff.record_arrival(now_s, self._entry)
            engine.leaving.record_arrival(self._arrived_s, self._entry)
        if self._is_withdrawn:
            if is_open and not engine.is_crashed:
                job = self._make_job()
                self._disregard(job)
                engine.model.submit(job)
            return
        if engine.is_crashed:
            self._fail(decisions.DispatchFailure.NOT_CONNECTED)
            return
        part = self._owner.prompt.crashing_part
        if part is not None and engine.is_running:
            crash_check = self._simulation.crash_check
            crash_check.record_arrival(self._sent_s, self._entry, part)
        engine.limit.record_arrival(now_s, self._entry)
        job = self._make_job()
        is_version_right = self._expected_version in (0, engine.version)
        if not is_open or not is_version_right or not engine.model.submit(job):
            self._read_statement(engine.backoff_s)
            self._fail(decisions.DispatchFailure.REJECTED)
            return
        self.job = job
        engine.jobs[job] = self

    def _make_job(self) -> engine_model.Job:
        job = self._owner.make_job(self)
        job.on_event = self._on_event
        job.on_end = self._on_end
        job.on_decode = self._crash_at_begin
        return job

    def _crash_at_begin(self, first_token_in_s: float) -> None:
        """Handle the time at which the engine begins to write the answer."""
        part = self._owner.prompt.crashing_part
        if part is not None:
            self.engine.begin_answer(part, first_token_in_s)

    def _on_event(self) -> None:
        if not self._has_begun:
            self._read_statement()
            now_s = self._simulation.clock.seconds()
            self._simulation.version_check.record_begin(now_s, self.engine.version)
        is_first, self._has_begun = not self._has_begun, True
        self._start_silence_timer(request_timing.STREAM_GAP_TIMEOUT_S)
        self._owner.on_event(self, is_first)

    def _on_end(self) -> None:
        self.engine.jobs.pop(self.job, None)
        self._stop_silence_timer()
        self._owner.on_end(self)

    def _read_statement(self, backoff_s: float | None = None) -> None:
        """Read what the engine says of itself in the head of an answer.

        :param backoff_s: the time that it names in a rejection.
        """
        now_s = self._simulation.clock.seconds()
        engine = self.engine
        limit_per_s = engine.limit.record_answer(now_s, self._entry)
        engine.backoff.record_answer(now_s, self._entry, backoff_s)
        engine.leaving.record_answer(now_s, self._entry, engine.is_leaving)
        statement = engine_statement.EngineStatement(
            limit_per_s, backoff_s, engine.is_leaving
        )
        self._owner.on_engine_head(self, statement)

    def _start_silence_timer(self, timeout_s: float) -> None:
        self._stop_silence_timer()
        self._silence_timer = self._simulation.clock.callLater(
            timeout_s, self._on_silence
        )

    def _stop_silence_timer(self) -> None:
        if self._silence_timer is not None and self._silence_timer.active():
            self._silence_timer.cancel()

    def _on_silence(self) -> None:
        """Report the silence of the engine, and wait again if the request stays."""
        self._start_silence_timer(request_timing.SILENCE_RECHECK_S)
        self._owner.on_failure(self, decisions.DispatchFailure.SILENT)


def _do_nothing() -> None:
    return
