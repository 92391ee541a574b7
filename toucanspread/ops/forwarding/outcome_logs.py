"""Logs how callers' requests ended, with what explains it."""

import collections

from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import (
    decision_context,
    decisions,
    engine_obstacles,
    engine_requirements,
    forwarding,
)
from toucanspread.ops.telemetry import logs


class StreamTiming:
    """Times at which the events of a stream were relayed."""

    def __init__(self):
        self.first_s: float | None = None
        self.longest_pause_s = 0.0
        self._last_s = 0.0

    def record_events(self, now_s: float) -> None:
        """Record that events were relayed."""
        if self.first_s is None:
            self.first_s = now_s
        else:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self._last_s)
        self._last_s = now_s

    def measure_quiet_s(self, now_s: float) -> float | None:
        """Return the time since the last event; None before the first one."""
        return None if self.first_s is None else now_s - self._last_s


class RequestSize:
    """The fields of a log line that tell the size of a request.

    :param body_bytes: size of its body.
    """

    def __init__(self, call: entry_data.Call, body_bytes: int):
        self._call = call
        self._body_bytes = body_bytes

    def as_fields(self) -> dict[str, int]:
        """Return the fields by their names."""
        return {
            "tokens": self._call.prompt_tokens,
            "output_tokens": self._call.output_tokens,
            "body_bytes": self._body_bytes,
        }


class OutcomeLog:
    """Logs the outcome of one request.

    :param started_s: time at which its first byte was received.
    """

    def __init__(
        self,
        call: entry_data.Call,
        route: entry_data.Route,
        started_s: float,
        body_bytes: int,
        stream_timing: StreamTiming,
    ):
        self._call = call
        self._route = route
        self._started_s = started_s
        self._size = RequestSize(call, body_bytes)
        self._stream_timing = stream_timing

    def write_answer(
        self, status: int, state: forwarding.RequestState, now_s: float
    ) -> None:
        """Log an engine's whole answer that was relayed."""
        timing = self._stream_timing
        first_s = timing.first_s if timing.first_s is not None else now_s
        logs.write(
            "request_answered",
            id=self._call.attempt_id,
            route=self._route.name,
            status=status,
            first_s=first_s - self._started_s,
            longest_pause_s=timing.longest_pause_s,
            after_s=now_s - self._started_s,
            dispatches=state.dispatches,
            engine_wait_s=state.running.newest.engine_wait_s,
            **self._size.as_fields(),
        )

    def write_caller_left(self, engine_id: str, now_s: float) -> None:
        """Log that the caller has left.

        :param engine_id: of the engine that has the request, or an empty string.
        """
        logs.write(
            "caller_left",
            id=self._call.attempt_id,
            route=self._route.name,
            engine=engine_id,
            after_s=now_s - self._started_s,
            **self._size.as_fields(),
        )

    def write_abandoned(self, engine_id: str, error: Exception) -> None:
        """Log that an error ended the request."""
        logs.write(
            "request_abandoned",
            id=self._call.attempt_id,
            engine=engine_id,
            kind=type(error).__name__,
            why=str(error),
        )

    def write_end(
        self,
        event: str,
        cause: decisions.FailureCause,
        fields: dict[str, object],
        service: entry_data.Service | None,
        context: decision_context.Context | None,
        now_s: float,
    ) -> None:
        """Log an end without an engine's answer.

        :param fields: what is known of the request.
        :param context: of the decision; None without a service.
        """
        minimum_version, causes = 0, []
        if context is not None:
            minimum_version = context.minimum_version
            causes = _list_obstacles(service, context)
        counts = collections.Counter(causes)
        logs.write(
            event,
            id=self._call.attempt_id,
            route=self._route.name,
            why=cause.value,
            after_s=now_s - self._started_s,
            quiet_s=self._stream_timing.measure_quiet_s(now_s),
            **fields,
            engines_known=len(causes),
            engines_usable=counts.pop(None, 0),
            obstacles=",".join(f"{c.value}:{n}" for c, n in counts.items()),
            minimum_version=minimum_version,
            **self._size.as_fields(),
        )


def _list_obstacles(
    service: entry_data.Service, context: decision_context.Context
) -> list[engine_obstacles.Cause | None]:
    """Return why each engine of a service may get no request."""
    requirements = engine_requirements.EngineRequirements(
        service,
        context.minimum_version,
        upcoming_versions=context.upcoming_versions,
    )
    choice = engine_obstacles.Choice(requirements, context.location, context.now_s)
    causes = []
    for engine in context.registry.of_service(service.name):
        obstacle = engine_obstacles.find(engine, choice)
        causes.append(None if obstacle is None else obstacle.cause)
    return causes
