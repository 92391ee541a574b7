"""Carries dispatches of simulated entries to endpoint processes, and answers back."""

from collections.abc import Callable

import msgspec

from standins import system_parts
from toucanspread.core import data
from toucanspread.core.gate import dispatch_events
from toucanspread.core.requests import request_events


class Dispatches:
    """The dispatches of all entries, which may be lost, copied or cut off."""

    def __init__(self, system: system_parts.System):
        self._system = system
        self._open_dispatches: dict[tuple, system_parts.OpenDispatch] = {}

    def on_process_killed(self, process: system_parts.Process) -> None:
        """Break the connections from and to a process that was killed."""
        for call in process.streams.values():
            self._fail_dispatch(call, data.Reason.STREAM_BROKE, sent=True)
        for call in [*self._open_dispatches.values()]:
            if call.entry == process.identity:
                self._close_dispatch(call)

    def handlers(self) -> dict[type, Callable]:
        """Return what carries out each kind of effect."""
        return {
            request_events.SendDispatch: self._send_dispatch,
            request_events.CancelAttempt: self._cancel_attempt,
            dispatch_events.RefuseDispatch: self._refuse_dispatch,
            dispatch_events.EndDispatch: self._end_dispatch,
            dispatch_events.ReplayAnswer: self._replay_answer,
        }

    def _send_dispatch(
        self, process: system_parts.Process, effect: request_events.SendDispatch
    ) -> None:
        call = system_parts.OpenDispatch(
            process.identity, effect.address, effect.dispatch
        )
        key = (process.identity, *_get_attempt_key(call))
        self._open_dispatches[key] = call
        self._system.call_later(
            system_parts.NETWORK_DELAY_S, lambda: self._receive_dispatch(call)
        )
        if self._system.random.random() < self._system.loss_ratio:
            copy = system_parts.OpenDispatch(
                process.identity, effect.address, effect.dispatch, closed=True
            )
            delay_s = self._system.random.random() * system_parts.MAX_MESSAGE_DELAY_S
            self._system.call_later(delay_s, lambda: self._receive_dispatch(copy))

    def _receive_dispatch(self, call: system_parts.OpenDispatch) -> None:
        target = self._system.find_process(call.endpoint)
        if target is None:
            self._fail_dispatch(call, data.Reason.UNREACHABLE, sent=False)
            return
        if self._system.is_partitioned(call.entry, target.identity):
            return
        call.stream = self._system.draw_number()
        target.streams[call.stream] = call
        body_hash = hash(call.dispatch.request.idempotency_key)
        event = dispatch_events.DispatchReceived(
            call.entry, call.dispatch, call.stream, body_hash
        )
        self._system.post(target.identity.instance_id, event)

    def _refuse_dispatch(
        self, process: system_parts.Process, effect: dispatch_events.RefuseDispatch
    ) -> None:
        end = effect.end
        self._system.refusals[end.request_id, end.attempt] = end
        self._end_dispatch(process, effect)

    def _end_dispatch(self, process: system_parts.Process, effect) -> None:
        self._return_answer(process, effect.stream, effect.end)

    def _replay_answer(
        self, process: system_parts.Process, effect: dispatch_events.ReplayAnswer
    ) -> None:
        end = effect.end
        if effect.kept_key in process.kept_statuses:
            end = msgspec.structs.replace(
                end, outcome=data.Outcome.DONE, reason=data.Reason.NONE
            )
        self._return_answer(process, effect.stream, end)

    def _return_answer(
        self, process: system_parts.Process, stream: int, end: data.AnswerEnd
    ) -> None:
        call = process.streams.pop(stream, None)
        if call is None or self._system.is_partitioned(process.identity, call.entry):
            return

        def deliver_end() -> None:
            if not call.closed:
                self._close_dispatch(call)
                self._system.deliver(call.entry, 0.0, request_events.AttemptEnded(end))

        self._system.call_later(system_parts.NETWORK_DELAY_S, deliver_end)

    def _fail_dispatch(
        self, call: system_parts.OpenDispatch, reason: data.Reason, sent: bool
    ) -> None:
        if call.closed:
            return
        self._close_dispatch(call)
        request_id, attempt = _get_attempt_key(call)
        event = request_events.AttemptFailed(request_id, attempt, reason, sent)
        self._system.deliver(call.entry, system_parts.NETWORK_DELAY_S, event)

    def _close_dispatch(self, call: system_parts.OpenDispatch) -> None:
        """Close a dispatch at its entry and cancel it at the endpoint process."""
        call.closed = True
        self._open_dispatches.pop((call.entry, *_get_attempt_key(call)), None)
        target = self._system.find_process(call.endpoint)
        if target is None or call.stream not in target.streams:
            return
        del target.streams[call.stream]
        if self._system.is_partitioned(call.entry, target.identity):
            return
        event = dispatch_events.DispatchCancelled(*_get_attempt_key(call), call.stream)
        self._system.deliver(target.identity, system_parts.NETWORK_DELAY_S, event)

    def _cancel_attempt(
        self, process: system_parts.Process, effect: request_events.CancelAttempt
    ) -> None:
        key = (process.identity, effect.request_id, effect.attempt)
        call = self._open_dispatches.get(key)
        if call is not None:
            self._close_dispatch(call)


def _get_attempt_key(call: system_parts.OpenDispatch) -> tuple[data.RequestId, int]:
    return call.dispatch.request.request_id, call.dispatch.attempt
