"""Dispatches requests to endpoint processes and relays their answers.

Each attempt is one task. It checks every frame, writes the payload to the caller's
sink, coalesced by time, and reports the progress of the attempt to the machine.
"""

import abc
import asyncio
from collections.abc import Mapping

from toucanspread.core import data
from toucanspread.core.requests import answers, request_events
from toucanspread.ops import grpc_transport, loop, runtime
from toucanspread.ops.telemetry import logs

# Callers do not notice a delay of this length between two tokens.
COALESCE_INTERVAL_S = 0.02
PROGRESS_INTERVAL_S = 1.0
EVENT_END = b"\n\n"


class AnswerSink(abc.ABC):
    """Receives the payload of answers, by request."""

    @abc.abstractmethod
    def get_body(self, request_id: data.RequestId) -> bytes:
        """Return the body of a request."""

    @abc.abstractmethod
    def write(self, request_id: data.RequestId, attempt: int, payload: bytes) -> None:
        """Accept a part of the payload of an attempt's answer."""

    @abc.abstractmethod
    def get_max_answer_bytes(self, request_id: data.RequestId) -> float:
        """Return the maximum size of an answer; infinite for a stream."""

    @abc.abstractmethod
    async def wait_until_writable(self, request_id: data.RequestId) -> None:
        """Wait until the caller's connection accepts more data."""


class Dispatcher(runtime.Adapter):
    """Carries out dispatches over the connections to peers.

    :param host: runtime that the events are posted to.
    :param transport: its ``dispatch`` yields the frames of an answer.
    :param sink: receives the payload.
    """

    def __init__(
        self,
        host: runtime.Runtime,
        transport: grpc_transport.GrpcTransport,
        sink: AnswerSink,
    ):
        self._host = host
        self._transport = transport
        self._sink = sink
        self._tasks: dict[tuple[data.RequestId, int], asyncio.Task] = {}

    def handlers(self) -> Mapping[type, runtime.EffectHandler]:
        """Return the handlers of effects that start and cancel attempts."""
        return {
            request_events.SendDispatch: self._send,
            request_events.CancelAttempt: self._cancel,
        }

    async def stop(self) -> None:
        """Cancel the attempts in progress."""
        for task in tuple(self._tasks.values()):
            task.cancel()

    def _send(self, effect: request_events.SendDispatch) -> None:
        request_id = effect.dispatch.request.request_id
        key = (request_id, effect.dispatch.attempt)
        relay = AnswerRelay(self._host, self._sink, effect.dispatch)
        answer = self._transport.dispatch(
            effect.address, effect.dispatch, self._sink.get_body(request_id)
        )
        task = loop.spawn(relay.run(answer))
        self._tasks[key] = task
        task.add_done_callback(lambda _: self._tasks.pop(key, None))

    def _cancel(self, effect: request_events.CancelAttempt) -> None:
        if effect.silent_address:
            self._transport.replace_connection(effect.silent_address)
        task = self._tasks.get((effect.request_id, effect.attempt))
        if task is not None:
            task.cancel()


class AnswerRelay:
    """Relays the answer of one attempt."""

    def __init__(
        self, host: runtime.Runtime, sink: AnswerSink, dispatch: data.Dispatch
    ):
        self._host = host
        self._sink = sink
        self._request_id = dispatch.request.request_id
        self._attempt = dispatch.attempt
        self._check = answers.AnswerCheck(
            self._request_id, self._attempt, dispatch.resume_from_bytes
        )
        self._buffer = bytearray()
        self._version = data.VersionName("")
        self._written_bytes = 0
        self._written_events = 0
        self._last_write_s = float("-inf")
        self._flush_timer: asyncio.TimerHandle | None = None
        self._last_frame_s = 0.0
        self._max_gap_s = 0.0
        self._last_progress_s = float("-inf")
        self._progress_timer: asyncio.TimerHandle | None = None

    async def run(self, answer) -> None:
        """Relay the answer to its end and post how it ended."""
        try:
            event = await self._relay_frames(answer)
        except grpc_transport.PeerError as error:
            event = self._make_failure(error.reason, error.sent)
        except answers.AnswerMismatchError as error:
            logs.write("answer_refused", why=str(error))
            event = self._make_failure(data.Reason.NOT_WHOLE, True)
        except Exception as error:
            # The caller must get a final outcome even after an unexpected error.
            logs.write("relay_failed", kind=type(error).__name__, why=str(error))
            event = self._make_failure(data.Reason.STREAM_BROKE, True)
        finally:
            self._stop_timers()
            await answer.aclose()
        self._host.post(event)

    async def _relay_frames(self, answer) -> data.Event:
        async for frame in answer:
            if isinstance(frame, data.AnswerEnd):
                self._check.check_end(frame)
                self._flush()
                return request_events.AttemptEnded(frame)
            self._check.check_frame(frame)
            self._version = self._version or frame.version
            self._check_size()
            self._record_gap()
            self._buffer += frame.payload
            self._schedule_flush()
            self._schedule_progress()
            await self._sink.wait_until_writable(self._request_id)
        return self._make_failure(data.Reason.STREAM_BROKE, True)

    def _make_failure(
        self, reason: data.Reason, sent: bool
    ) -> request_events.AttemptFailed:
        if reason is not data.Reason.NOT_WHOLE:
            self._flush()
        return request_events.AttemptFailed(
            self._request_id,
            self._attempt,
            reason,
            sent,
            self._written_bytes,
            self._written_events,
            self._version,
        )

    def _check_size(self) -> None:
        max_bytes = self._sink.get_max_answer_bytes(self._request_id)
        if self._check.payload_bytes > max_bytes:
            raise answers.AnswerMismatchError(
                f"answer to {self._request_id} is larger than {max_bytes} bytes"
            )

    def _record_gap(self) -> None:
        now_s = loop.EVENT_LOOP.time()
        if self._last_frame_s:
            self._max_gap_s = max(self._max_gap_s, now_s - self._last_frame_s)
        self._last_frame_s = now_s

    def _schedule_flush(self) -> None:
        """Write now, or at the end of the interval since the last write."""
        if self._flush_timer is not None:
            return
        wait_s = self._last_write_s + COALESCE_INTERVAL_S - loop.EVENT_LOOP.time()
        if wait_s <= 0:
            self._flush()
            return
        self._flush_timer = loop.EVENT_LOOP.call_later(wait_s, self._flush)

    def _flush(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        if not self._buffer:
            return
        payload = bytes(self._buffer)
        self._buffer.clear()
        self._last_write_s = loop.EVENT_LOOP.time()
        self._sink.write(self._request_id, self._attempt, payload)
        self._written_bytes += len(payload)
        self._written_events += payload.count(EVENT_END)

    def _schedule_progress(self) -> None:
        """Report progress now, or at the end of the interval since the last report.

        The delayed report gives the machine the exact size of a stream that stalls.
        """
        if self._progress_timer is not None:
            return
        wait_s = self._last_progress_s + PROGRESS_INTERVAL_S - loop.EVENT_LOOP.time()
        if wait_s <= 0:
            self._send_progress()
            return
        self._progress_timer = loop.EVENT_LOOP.call_later(wait_s, self._send_progress)

    def _send_progress(self) -> None:
        self._progress_timer = None
        self._last_progress_s = loop.EVENT_LOOP.time()
        event = request_events.AttemptProgressed(
            self._request_id,
            self._attempt,
            self._written_bytes,
            self._max_gap_s,
            self._written_events,
            self._version,
        )
        self._max_gap_s = 0.0
        self._host.post(event)

    def _stop_timers(self) -> None:
        for timer in (self._flush_timer, self._progress_timer):
            if timer is not None:
                timer.cancel()
