"""Acquires and renews the controller's lease through the key-value service.

Only a few live entries, selected by rendezvous hashing, try to acquire it. The holder
computes the end of its lease with its own monotonic clock, from the time at which the
granted call was sent, and stops giving orders a margin earlier. A lost answer grants
nothing: the next call shows whether this entry holds the lease.

A service that was restored to an older state may grant numbers that it has granted
before. The upper bits of a fencing number therefore count such restorations, as far as
this entry knows of higher numbers, so that the numbers in orders still grow.
"""

from toucanspread.core import data, effects, events, machine, operations
from toucanspread.core.agreement import config_gossip, config_watch

LEASE_KEY = "lease/controller"
LEASE_TTL_S = 10.0
RENEW_INTERVAL_S = 3.0
SAFETY_MARGIN_S = 2.0  # orders stop this long before the lease ends
ANSWER_TIMEOUT_S = 3.0  # a later answer is treated as lost
RETRY_INTERVAL_S = 2.0
CANDIDATES_PER_ZONE = 1
GRANT_BITS = 40  # low bits of a fencing number; those above count restorations


class State:
    """The lease as this entry knows it.

    :ivar fence: the fencing number for orders; 0 while no lease is held.
    :ivar last_fence: the fencing number of the last lease that was held.
    :ivar granted_fence: the number as the service granted it.
    """

    def __init__(self):
        self.fence = data.FencingNumber(0)
        self.last_fence = data.FencingNumber(0)
        self.granted_fence = data.FencingNumber(0)
        self.expires_s = float("-inf")
        self.call_id = data.OperationId("")
        self.call_sent_s = 0.0
        self.is_renewal = False
        self.next_call_s = 0.0
        self.holder = ""


def is_held(node: machine.Node) -> bool:
    """Return whether this entry may give orders now."""
    state = node.leases
    return state.fence > 0 and node.now_s < state.expires_s - SAFETY_MARGIN_S


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Renew the lease in time, or try to acquire it."""
    state = node.leases
    outputs = [*_drop_expired(node), *_release_if_superseded(node)]
    if state.call_id:
        if node.now_s - state.call_sent_s < ANSWER_TIMEOUT_S:
            return outputs
        state.call_id = data.OperationId("")
    if node.now_s < state.next_call_s:
        return outputs
    state.next_call_s = node.now_s + RETRY_INTERVAL_S * (
        0.75 + 0.5 * node.random.random()
    )
    if state.fence == 0 and not config_watch.is_selected(
        node, LEASE_KEY, CANDIDATES_PER_ZONE
    ):
        return outputs
    return [*outputs, _request_lease(node)]


def on_kv_answered(node: machine.Node, event: events.KvAnswered) -> list:
    """Handle a grant or a refusal."""
    state = node.leases
    if event.operation_id != state.call_id:
        return []  # a late answer grants nothing
    state.call_id = data.OperationId("")
    if event.status is data.KvStatus.OK:
        return _on_granted(node, event)
    if event.status is data.KvStatus.CONFLICT:
        state.holder = event.holder
        if state.is_renewal:
            return _mark_lost(node, "another entry holds it")
    return []


def on_shutdown(node: machine.Node, event: events.ShutdownRequested) -> list:
    """Release the lease, so that another entry need not wait for its end."""
    state = node.leases
    state.next_call_s = float("inf")
    if state.fence == 0:
        return []
    return [_build_release(node), *_mark_lost(node, "shutting down")]


def _request_lease(node: machine.Node) -> data.Effect:
    state = node.leases
    state.call_id = operations.new_id(node, "lease")
    state.call_sent_s = node.now_s
    state.is_renewal = state.fence > 0
    holder = node.identity.instance_id
    if state.is_renewal:
        return effects.LeaseRenew(
            state.call_id, LEASE_KEY, holder, state.granted_fence, LEASE_TTL_S
        )
    return effects.LeaseAcquire(state.call_id, LEASE_KEY, holder, LEASE_TTL_S)


def _on_granted(node: machine.Node, event: events.KvAnswered) -> list:
    state = node.leases
    expires_s = state.call_sent_s + LEASE_TTL_S
    if node.now_s >= expires_s - SAFETY_MARGIN_S:
        return []  # the answer took as long as the lease lasts
    is_new = state.fence == 0 or state.granted_fence != event.fence
    if is_new:
        state.fence = _build_fencing_number(node, event.fence)
        state.last_fence = state.fence
        state.granted_fence = event.fence
    state.expires_s = expires_s
    state.holder = node.identity.instance_id
    state.next_call_s = node.now_s + RENEW_INTERVAL_S
    if not is_new:
        return []
    return [effects.Log("lease_acquired", {"fence": state.fence})]


def _build_fencing_number(
    node: machine.Node, granted_fence: data.FencingNumber
) -> data.FencingNumber:
    """Return the fencing number for orders.

    It is the least number above all known ones of other leases whose low bits are
    ``granted_fence``.
    """
    highest = config_gossip.find_highest_fence(node)
    number = (highest >> GRANT_BITS << GRANT_BITS) | granted_fence
    if number < highest or (number == highest != node.leases.last_fence):
        number += 1 << GRANT_BITS
    return data.FencingNumber(number)


def _release_if_superseded(node: machine.Node) -> list:
    """Release the lease when a higher fencing number is known, and acquire it again."""
    state = node.leases
    if state.fence == 0 or node.config_gossip.fence <= state.fence:
        return []
    state.next_call_s = node.now_s + RETRY_INTERVAL_S
    return [_build_release(node), *_mark_lost(node, "a higher fencing number is known")]


def _build_release(node: machine.Node) -> data.Effect:
    return effects.LeaseRelease(
        operations.new_id(node, "release"),
        LEASE_KEY,
        node.identity.instance_id,
        node.leases.granted_fence,
    )


def _drop_expired(node: machine.Node) -> list:
    state = node.leases
    if state.fence == 0 or node.now_s < state.expires_s - SAFETY_MARGIN_S:
        return []
    return _mark_lost(node, "expired")


def _mark_lost(node: machine.Node, why: str) -> list:
    state = node.leases
    fence = state.fence
    state.fence = data.FencingNumber(0)
    state.expires_s = float("-inf")
    return [effects.Log("lease_lost", {"fence": fence, "why": why})]


HANDLERS = {
    events.Tick: on_tick,
    events.KvAnswered: on_kv_answered,
    events.ShutdownRequested: on_shutdown,
}
