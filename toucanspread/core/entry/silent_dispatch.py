"""Decides what becomes of a request whose engine sends nothing.

The request moves to another engine if it may run again and one can take it. If it
can't move, it waits on, unless nothing at all is heard of its engine: no close of a
connection reaches an engine that stands still, and the caller would wait in vain.
"""

from typing import NamedTuple

from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import (
    decision_context,
    decisions,
    engines,
    load_balancing,
)

MIN_TIME_TO_DISPATCH_S = 0.03  # shorter than transfer to an engine and the shortest run


class DispatchedRequest(NamedTuple):
    """A request that was sent to an engine.

    :param engine: the engine that has it; None if that is not of interest.
    :param requirements: those on another engine, without the ones that were tried.
    :param possible_runs: number of engines that may have begun to run it.
    :param latest_end_s: time at which it has ended with any answer.
    """

    route: entry_data.Route
    call: entry_data.Call
    deadline_s: float
    possible_runs: int
    engine: engines.Engine | None
    requirements: load_balancing.EngineRequirements
    latest_end_s: float


def find_run_obstacle(
    request: DispatchedRequest, context: decision_context.Context
) -> decisions.MoveObstacle | None:
    """Return why the request may not run again, or None if it may."""
    if not request.route.is_repeatable:
        return decisions.MoveObstacle.NOT_REPEATABLE
    if request.possible_runs >= request.route.attempts:
        return decisions.MoveObstacle.ATTEMPTS_USED
    if not context.guard.may_repeat(request.call):
        return decisions.MoveObstacle.REQUEST_SUSPECT
    if request.deadline_s - context.now_s <= MIN_TIME_TO_DISPATCH_S:
        return decisions.MoveObstacle.TIME_OVER
    if request.latest_end_s > context.requests_end_s:
        return decisions.MoveObstacle.LEAVING
    return None


def find_move_obstacle(
    request: DispatchedRequest, context: decision_context.Context
) -> decisions.MoveObstacle | None:
    """Return why the request can't move to another engine, or None if it can."""
    obstacle = find_run_obstacle(request, context)
    if obstacle is not None:
        return obstacle
    service = request.requirements.service.name
    if not context.retry_budgets.allows_retry(
        service, context.now_s, context.location.entry_count
    ):
        return decisions.MoveObstacle.RETRY_BUDGET_EXHAUSTED
    if not _has_better_engine(request, context):
        return decisions.MoveObstacle.NO_FREE_ENGINE
    return None


def is_wait_in_vain(
    request: DispatchedRequest,
    obstacle: decisions.MoveObstacle,
    context: decision_context.Context,
) -> bool:
    """Return whether to end a request that can't move.

    Nothing is heard of its engine, and its caller can have it run elsewhere.
    """
    if request.engine is None or not request.engine.is_silent(context.now_s):
        return False
    return obstacle in decisions.CALLER_RETRY_OBSTACLES


def _has_better_engine(
    request: DispatchedRequest, context: decision_context.Context
) -> bool:
    """Return whether an engine that was not tried has a free slot.

    If the present engine is silent, any engine that is heard is better.
    """
    now_s, location = context.now_s, context.location
    needs_slot = request.engine is None or not request.engine.is_silent(now_s)
    for engine in load_balancing.eligible_engines(
        context.registry, request.requirements, location, now_s
    ):
        if engine.is_avoided(now_s):
            continue
        if not needs_slot and not engine.is_silent(now_s):
            return True
        if load_balancing.free_slots(engine, location, now_s) >= 1:
            return True
    return False
