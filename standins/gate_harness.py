"""Test harness for the gate, with a fake key-value service.

It needs no socket and no clock; the caller sets the time.
"""

import types
from collections.abc import Iterable

from toucanspread.core import data, effects, events, machine
from toucanspread.core.gate import (
    admission,
    claims,
    dispatch_events,
    dispatches,
    serving,
)

SERVICE = data.ServiceName("reservas")
MODEL_SERVICE = data.ServiceName("redactor")
MODEL = data.ModelName("redactor")
VERSION = data.VersionName("v1")
WALL_START_S = 1_800_000_000.0
WEIGHTS_HASH = "d1" * 32
ENTRY = data.Identity(
    instance_id=data.InstanceId("entry-1"),
    role=data.Role.ENTRY,
    incarnation=data.Incarnation(1),
    zone=data.ZoneName("heredia-a"),
    region=data.RegionName("gran-area"),
    address=data.Address("127.0.0.1:1"),
)


class FakeKeyValue:
    """A fake of the platform's key-value service, as far as claims use it.

    Versions increase over all keys, as in the real service.
    """

    def __init__(self):
        self.values: dict[str, tuple[bytes, int]] = {}
        self.writes = 0
        self.reads = 0
        self._version = 0

    def carry_out(self, effect: data.Effect) -> events.KvAnswered:
        """Execute a call and return its answer."""
        value, version = self.values.get(effect.key, (b"", 0))
        if isinstance(effect, effects.KvRead):
            self.reads += 1
            status = data.KvStatus.OK if version else data.KvStatus.ABSENT
            return events.KvAnswered(
                effect.operation_id, status, effect.key, value, version
            )
        self.writes += 1
        if version != effect.expected_version:
            status = data.KvStatus.CONFLICT
            return events.KvAnswered(effect.operation_id, status, effect.key)
        self._version += 1
        self.values[effect.key] = (effect.value, self._version)
        return events.KvAnswered(
            effect.operation_id,
            data.KvStatus.OK,
            effect.key,
            effect.value,
            self._version,
        )


def is_key_value_call(effect: data.Effect) -> bool:
    """Return whether an effect is a call on the key-value service."""
    return isinstance(effect, (effects.KvRead, effects.KvWrite))


def make_serving(kind: data.ServiceKind) -> types.SimpleNamespace:
    """Return the serving state of an endpoint process."""
    is_model = kind is data.ServiceKind.MODEL
    return types.SimpleNamespace(
        service=MODEL_SERVICE if is_model else SERVICE,
        kind=kind,
        model=MODEL if is_model else "",
        version=VERSION if is_model else "",
        manifest_hash="",
        weights_hash=WEIGHTS_HASH if is_model else "",
        adapters=(),
    )


def make_complete_status() -> data.EngineStatus:
    """Return the status of an engine that has loaded the served version completely."""
    return data.EngineStatus(active_version=VERSION, digests={VERSION: WEIGHTS_HASH})


class GateHarness:
    """The modules of the gate on a real machine, without orders and sockets.

    :param limit: initial concurrency limit.
    :param teams: weights of the teams that share the service.
    :param adaptive: whether the limit adapts to the measured latency.
    """

    def __init__(
        self,
        kind: data.ServiceKind = data.ServiceKind.MODEL,
        instance_id: str = "endpoint-1",
        incarnation: int = 1,
        limit: int = 4,
        seed: int = 1,
        teams: Iterable[data.TeamShare] = (),
        adaptive: bool = False,
    ):
        self.now_s = 0.0
        serving_state = make_serving(kind)
        intent = types.SimpleNamespace(teams=tuple(teams))
        identity = data.Identity(
            instance_id=data.InstanceId(instance_id),
            role=data.Role.ENDPOINT,
            incarnation=data.Incarnation(incarnation),
            zone=data.ZoneName("heredia-a"),
            region=data.RegionName("gran-area"),
            address=data.Address("127.0.0.1:2"),
        )
        self.node = machine.Node(
            identity,
            seed,
            orders=types.SimpleNamespace(
                serving=serving_state, draining=False, phase=serving.Phase.IDLE
            ),
            config=types.SimpleNamespace(intents={serving_state.service: intent}),
            dispatches=dispatches.State(),
            claims=claims.State(),
            admission=admission.State(limit, adaptive),
        )
        self.machine = machine.Machine(
            self.node, [dispatches.HANDLERS, claims.HANDLERS, admission.HANDLERS]
        )
        if kind is data.ServiceKind.MODEL:
            self.step(events.EngineStatusReported(make_complete_status()))

    def step(self, event: data.Event, after_s: float = 0.0) -> list[data.Effect]:
        """Pass an event to the machine; return the effects except logs and metrics.

        :param after_s: time that has passed since the last event.
        """
        self.now_s += after_s
        self.node.wall_s = WALL_START_S + self.now_s
        outputs = self.machine.step(self.now_s, event)
        ignored = (effects.Log, effects.Count, effects.Observe)
        return [effect for effect in outputs if not isinstance(effect, ignored)]

    def dispatch(
        self,
        request_id: str = "r1",
        attempt: int = 1,
        stream: int = 1,
        budget_s: float = 10.0,
        **fields,
    ) -> list[data.Effect]:
        """Pass a dispatch to the gate and return the effects."""
        request = data.Request(
            request_id=data.RequestId(request_id),
            team=data.TeamName(fields.pop("team", "parish")),
            service=fields.pop("service", self.node.orders.serving.service),
            budget_s=budget_s,
            **fields,
        )
        dispatch = data.Dispatch(request, attempt, budget_s, ENTRY.instance_id)
        return self.step(dispatch_events.DispatchReceived(ENTRY, dispatch, stream))

    def end(
        self,
        request_id: str = "r1",
        ok: bool = True,
        started: bool = True,
        service_time_s: float = 0.1,
        attempt: int = 1,
        **fields,
    ) -> list[data.Effect]:
        """Pass the end of a run to the gate and return the effects."""
        return self.step(
            dispatch_events.RunEnded(
                data.RequestId(request_id),
                attempt,
                ok,
                200,
                started,
                "",
                service_time_s,
                **fields,
            )
        )
