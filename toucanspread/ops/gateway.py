"""Serves the dispatches of entries in an endpoint process.

The machine decides on each dispatch. The bytes of the answer are relayed from the
engine to the entry as they are received, coalesced by time and not parsed here.
"""

import asyncio
import collections
import itertools
import time
from collections.abc import AsyncIterator, Callable, Mapping

import msgspec
import xxhash
from twisted.web import http

from toucanspread.core import data
from toucanspread.core.gate import dispatch_events
from toucanspread.ops import engine, loop, runtime

COALESCE_INTERVAL_S = 0.005
MAX_BUFFER_BYTES = 256 * 1024  # relaying pauses while this much waits for the entry
MAX_RESUMES = 2
MAX_CACHED_ANSWERS = 1_000
MAX_CACHED_BYTES = 4 * 1024 * 1024
MAX_CACHED_ANSWER_BYTES = 64 * 1024


class AnswerChannel:
    """Buffers the answer to one copy of a dispatch until the entry receives it."""

    def __init__(self, dispatch: data.Dispatch, body: bytes):
        self.dispatch = dispatch
        self.body = body
        self.end: data.AnswerEnd | None = None
        self.is_closed = False
        self.version = data.VersionName("")
        self._buffer = bytearray()
        self._ready = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()

    async def write(self, payload: bytes) -> None:
        """Append bytes of the answer; wait while the buffer is full."""
        await self._writable.wait()
        if self.is_closed:
            return
        self._buffer += payload
        self._ready.set()
        if len(self._buffer) >= MAX_BUFFER_BYTES:
            self._writable.clear()

    def finish(self, end: data.AnswerEnd) -> None:
        """Set the last frame of the answer."""
        if self.end is None:
            self.end = end
        self._ready.set()

    def close(self) -> None:
        """Discard the answer and release a waiting writer."""
        self.is_closed = True
        self._buffer.clear()
        self._writable.set()

    async def frames(self) -> AsyncIterator[data.AnswerFrame | data.AnswerEnd]:
        """Yield the frames of the answer, and its end as the last item."""
        request_id = self.dispatch.request.request_id
        attempt = self.dispatch.attempt
        checksum = xxhash.xxh64()
        sequence = 0
        payload_bytes = 0
        offset_bytes = self.dispatch.resume_from_bytes
        while True:
            await self._ready.wait()
            self._ready.clear()
            payload = bytes(self._buffer)
            self._buffer.clear()
            self._writable.set()
            if payload:
                checksum.update(payload)
                payload_bytes += len(payload)
                yield data.AnswerFrame(
                    request_id,
                    attempt,
                    sequence,
                    payload,
                    offset_bytes=offset_bytes,
                    version=data.VersionName("") if sequence else self.version,
                )
                sequence += 1
                if offset_bytes:
                    offset_bytes += len(payload)
            if self.end is not None and not self._buffer:
                break
            if payload and self.end is None:
                await asyncio.sleep(COALESCE_INTERVAL_S)
        yield msgspec.structs.replace(
            self.end,
            frames=sequence,
            payload_bytes=payload_bytes,
            checksum=checksum.hexdigest(),
        )


class AnswerCache:
    """Bounded cache of the last complete answers to calls that may not be repeated."""

    def __init__(self):
        self._answers: collections.OrderedDict[data.AttemptKey, tuple[int, bytes]] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def add(self, key: data.AttemptKey, status: int, payload: bytes) -> None:
        """Store an answer unless it is too large."""
        if len(payload) > MAX_CACHED_ANSWER_BYTES:
            return
        self._discard(key)
        self._answers[key] = (status, payload)
        self._bytes += len(payload)
        while len(self._answers) > MAX_CACHED_ANSWERS or self._bytes > MAX_CACHED_BYTES:
            _, (_, dropped) = self._answers.popitem(last=False)
            self._bytes -= len(dropped)

    def get(self, key: data.AttemptKey) -> tuple[int, bytes] | None:
        """Return the status and payload of a cached answer, or None."""
        return self._answers.get(key)

    def _discard(self, key: data.AttemptKey) -> None:
        if key not in self._answers:
            return
        _, payload = self._answers.pop(key)
        self._bytes -= len(payload)


class Gateway(runtime.Adapter):
    """Serves dispatches of entries with an engine or a plain service.

    :param post: posts an event to the machine.
    :param model_engine: runs the requests of a model.
    :param plain_service: runs the calls of a plain service; used if given.
    """

    def __init__(
        self,
        post: Callable[[data.Event], None],
        model_engine: engine.Engine | None = None,
        plain_service: engine.PlainService | None = None,
    ):
        self._post = post
        self._engine = model_engine
        self._plain_service = plain_service
        self._stream_numbers = itertools.count(1)
        self._channels: dict[int, AnswerChannel] = {}
        self._runs: dict[data.AttemptKey, asyncio.Task] = {}
        self._answer_cache = AnswerCache()

    async def handle(
        self, sender: data.Identity, dispatch: data.Dispatch, body: bytes
    ) -> AsyncIterator[data.AnswerFrame | data.AnswerEnd]:
        """Serve one dispatch; closing the iterator cancels the dispatch."""
        stream = next(self._stream_numbers)
        channel = AnswerChannel(dispatch, body)
        self._channels[stream] = channel
        request_id, attempt = dispatch.request.request_id, dispatch.attempt
        body_hash = xxhash.xxh64_intdigest(body)
        try:
            self._post(
                dispatch_events.DispatchReceived(sender, dispatch, stream, body_hash)
            )
            async for frame in channel.frames():
                yield frame
        finally:
            channel.close()
            del self._channels[stream]
            if channel.end is None:
                self._post(
                    dispatch_events.DispatchCancelled(request_id, attempt, stream)
                )

    async def stop(self) -> None:
        """Cancel the runs in progress."""
        for task in tuple(self._runs.values()):
            task.cancel()

    def handlers(self) -> Mapping[type, runtime.EffectHandler]:
        """Return the handlers of effects on dispatches and runs."""
        return {
            dispatch_events.StartRun: self._start,
            dispatch_events.CancelRun: self._cancel,
            dispatch_events.RefuseDispatch: lambda effect: self._end(
                effect.stream, effect.end
            ),
            dispatch_events.EndDispatch: lambda effect: self._end(
                effect.stream, effect.end
            ),
            dispatch_events.ReplayAnswer: self._replay,
        }

    def _end(self, stream: int, end: data.AnswerEnd) -> None:
        channel = self._channels.get(stream)
        if channel is not None:
            channel.finish(end)

    def _replay(self, effect: dispatch_events.ReplayAnswer) -> None:
        cached = self._answer_cache.get(effect.kept_key)
        channel = self._channels.get(effect.stream)
        if channel is None:
            return
        if cached is None:
            channel.finish(effect.end)
            return
        status, payload = cached
        end = msgspec.structs.replace(
            effect.end,
            outcome=data.Outcome.DONE,
            reason=data.Reason.NONE,
            detail="the answer of the earlier run",
            retry_after_s=0.0,
            status=status,
        )
        loop.spawn(_write_and_finish(channel, payload, end))

    def _start(self, effect: dispatch_events.StartRun) -> None:
        channel = self._channels.get(effect.stream)
        if channel is None:
            raise KeyError(f"stream {effect.stream} is closed")
        channel.version = effect.version
        key = (effect.request_id, effect.attempt)
        run = Run(effect, channel, self._post, self._answer_cache)
        if self._plain_service is not None:
            coroutine = run.call(self._plain_service)
        else:
            coroutine = run.generate(self._engine)
        task = loop.spawn(coroutine)
        self._runs[key] = task
        task.add_done_callback(lambda _: self._runs.pop(key, None))

    def _cancel(self, effect: dispatch_events.CancelRun) -> None:
        task = self._runs.get((effect.request_id, effect.attempt))
        if task is not None:
            task.cancel()


class Run:
    """One run of a request by the engine or the plain service."""

    def __init__(
        self,
        effect: dispatch_events.StartRun,
        channel: AnswerChannel,
        post: Callable[[data.Event], None],
        answer_cache: AnswerCache,
    ):
        self._effect = effect
        self._channel = channel
        self._post = post
        self._answer_cache = answer_cache
        self._started_s = time.monotonic()
        self._has_output = False
        self._status = 200
        self._output_units = 1.0

    async def generate(self, model_engine: engine.Engine) -> None:
        """Relay the output of the engine; resume an interrupted stream."""
        await self._run_and_report(self._generate(model_engine))

    async def call(self, plain_service: engine.PlainService) -> None:
        """Relay the answer of a plain service."""
        await self._run_and_report(self._call(plain_service))

    async def _run_and_report(self, coroutine) -> None:
        """Run a coroutine and post how it ended, also after an error."""
        reason, started, detail = data.Reason.NONE, True, ""
        try:
            async with asyncio.timeout(self._effect.budget_s):
                await coroutine
        except engine.EngineRefusedError as error:
            reason, started = _find_refusal_reason(error), error.started
            detail = str(error)
        except engine.MismatchedAnswerError as error:
            reason, detail = data.Reason.ENGINE_FAILED, str(error)
        except engine.StreamBrokeError as error:
            reason, detail = data.Reason.STREAM_BROKE, str(error)
        except engine.EngineError as error:
            reason, started = data.Reason.ENGINE_FAILED, error.started
            detail = str(error)
        except TimeoutError:
            reason, detail = data.Reason.DEADLINE, "the budget ran out"
        except asyncio.CancelledError:
            reason, detail = data.Reason.CANCELLED, ""
        except Exception as error:
            reason, detail = data.Reason.ENGINE_FAILED, repr(error)
        self._post(
            dispatch_events.RunEnded(
                request_id=self._effect.request_id,
                attempt=self._effect.attempt,
                ok=reason is data.Reason.NONE,
                status=self._status,
                started=started or self._has_output,
                detail=detail,
                service_time_s=time.monotonic() - self._started_s,
                reason=reason,
                units=self._output_units,
            )
        )

    async def _generate(self, model_engine: engine.Engine) -> None:
        relayed_events = self._effect.resume_from_events
        resumes = 0
        while True:
            try:
                await self._relay_engine_output(model_engine, relayed_events)
                return
            except engine.MismatchedAnswerError:
                raise
            except engine.EngineError as error:
                if not resumes and not isinstance(error, engine.StreamBrokeError):
                    raise
                if isinstance(error, engine.StreamBrokeError):
                    relayed_events += error.events
                resumes += 1
                if resumes > MAX_RESUMES:
                    raise engine.StreamBrokeError(str(error), 0) from error

    async def _relay_engine_output(
        self, model_engine: engine.Engine, resume_events: int
    ) -> None:
        effect = self._effect
        parts = model_engine.generate(
            effect.request, self._channel.body, effect.version, resume_events
        )
        try:
            async for part in parts:
                self._report_output_started()
                self._output_units += part.count(engine.EVENT_END)
                await self._channel.write(part)
        finally:
            await parts.aclose()

    async def _call(self, plain_service: engine.PlainService) -> None:
        effect = self._effect
        request = msgspec.structs.replace(effect.request, budget_s=effect.budget_s)
        status, payload = await plain_service.call(request, self._channel.body)
        self._status = status
        self._report_output_started()
        if not request.repeatable:
            self._answer_cache.add((effect.request_id, effect.attempt), status, payload)
        await self._channel.write(payload)

    def _report_output_started(self) -> None:
        if self._has_output:
            return
        self._has_output = True
        self._post(
            dispatch_events.RunOutputStarted(
                self._effect.request_id, self._effect.attempt
            )
        )


async def _write_and_finish(
    channel: AnswerChannel, payload: bytes, end: data.AnswerEnd
) -> None:
    await channel.write(payload)
    channel.finish(end)


def _find_refusal_reason(error: engine.EngineRefusedError) -> data.Reason:
    if error.status in (http.NOT_FOUND, http.CONFLICT):
        return data.Reason.WRONG_VERSION
    if error.status == http.TOO_MANY_REQUESTS:
        return data.Reason.OVERLOADED
    if error.status < http.INTERNAL_SERVER_ERROR:
        return data.Reason.BAD_REQUEST
    return data.Reason.ENGINE_FAILED
