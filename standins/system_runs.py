"""Runs requests at the engines and services behind simulated endpoint processes."""

from collections.abc import Callable

from standins import system_parts
from toucanspread.core import data
from toucanspread.core.gate import dispatch_events

MAX_SERVICE_TIME_S = 0.8


class Runs:
    """The runs of all endpoint processes."""

    def __init__(self, system: system_parts.System):
        self._system = system

    def handlers(self) -> dict[type, Callable]:
        """Return what carries out each kind of effect."""
        return {
            dispatch_events.StartRun: self._start_run,
            dispatch_events.CancelRun: self._cancel_run,
        }

    def _start_run(
        self, process: system_parts.Process, effect: dispatch_events.StartRun
    ) -> None:
        host = self._system.hosts[process.identity.instance_id]
        key = (effect.request_id, effect.attempt)
        started_s = self._system.now_s
        self._system.runs.append((started_s, process.identity.instance_id))
        reason = data.Reason.NONE
        is_started = True
        if host.kind is data.ServiceKind.PLAIN:
            name = effect.request.idempotency_key
            # The service executes a call that was sent even if the process dies.
            self._system.call_later(
                system_parts.NETWORK_DELAY_S,
                lambda: host.plain_service.executions.update([name]),
            )
        elif host.engine.status.active_version != effect.version:
            reason, is_started = data.Reason.WRONG_VERSION, False
        if is_started and self._system.random.random() < self._system.loss_ratio:
            reason = data.Reason.STREAM_BROKE

        def end(why: data.Reason = reason) -> None:
            if process.runs.pop(key, None) is None:
                return
            is_complete = why is data.Reason.NONE
            if is_complete:
                process.kept_statuses[key] = 200
            ended = dispatch_events.RunEnded(
                request_id=effect.request_id,
                attempt=effect.attempt,
                ok=is_complete,
                status=200,
                started=is_started,
                detail="",
                service_time_s=self._system.now_s - started_s,
                reason=why,
            )
            self._system.deliver(process.identity, 0.0, ended)

        process.runs[key] = end
        self._system.call_later(
            system_parts.NETWORK_DELAY_S
            + self._system.random.random() * MAX_SERVICE_TIME_S,
            end,
        )

    def _cancel_run(
        self, process: system_parts.Process, effect: dispatch_events.CancelRun
    ) -> None:
        end = process.runs.get((effect.request_id, effect.attempt))
        if end is not None:
            end(data.Reason.CANCELLED)
