"""Decides what becomes of a request whose engine sends nothing.

The request moves to another engine if it may run again and one can take it. Its own
engine keeps it until the other one has begun. If it can't move, it waits on, unless
nothing at all is heard of its engine: no close of a connection reaches an engine that
stands still, and the caller would wait in vain. A planned stop ends no request for it:
an answer may still come, and until the requests end there is time for it.
"""

from toucanspread.core.entry import (
    decision_context,
    decisions,
    engine_choice,
    engine_waits,
    engines,
    load_balancing,
    request_record,
    retries,
)

MIN_TIME_TO_DISPATCH_S = 0.03  # shorter than transfer to an engine and the shortest run


def find_run_obstacle(
    record: request_record.RequestRecord, context: decision_context.Context
) -> decisions.MoveObstacle | None:
    """Return why the request may not run again, or None if it may."""
    if not record.route.is_repeatable:
        return decisions.MoveObstacle.NOT_REPEATABLE
    if record.possible_runs >= record.route.attempts:
        return decisions.MoveObstacle.ATTEMPTS_USED
    if not context.guard.may_repeat(record.call):
        return decisions.MoveObstacle.REQUEST_SUSPECT
    if record.timing.deadline_s - context.now_s <= MIN_TIME_TO_DISPATCH_S:
        return decisions.MoveObstacle.TIME_OVER
    if record.timing.latest_end_s > context.requests_end_s:
        return decisions.MoveObstacle.LEAVING
    return None


def find_move_obstacle(
    record: request_record.RequestRecord,
    engine: engines.Engine | None,
    context: decision_context.Context,
) -> decisions.MoveObstacle | None:
    """Return why the request can't move to another engine, or None if it can.

    :param engine: the engine that has the request.
    """
    obstacle = find_run_obstacle(record, context)
    if obstacle is not None:
        return obstacle
    if record.rejections > retries.MAX_REJECTION_COUNT:
        return decisions.MoveObstacle.REJECTED
    if not context.retry_budgets.allows_retry(
        record.service.name, context.now_s, context.location.entry_count
    ):
        return decisions.MoveObstacle.RETRY_BUDGET_EXHAUSTED
    if not _has_better_engine(record, engine, context):
        return decisions.MoveObstacle.NO_FREE_ENGINE
    return None


def is_wait_in_vain(
    engine: engines.Engine | None,
    obstacle: decisions.MoveObstacle,
    context: decision_context.Context,
) -> bool:
    """Return whether to end a request that can't move.

    Nothing is heard of its engine, and its caller can have it run elsewhere.

    :param engine: the engine that has the request.
    """
    if engine is None or not engine.is_silent(context.now_s):
        return False
    if context.is_leaving:
        return False
    return obstacle in decisions.CALLER_RETRY_OBSTACLES


def _has_better_engine(
    record: request_record.RequestRecord,
    present_engine: engines.Engine | None,
    context: decision_context.Context,
) -> bool:
    """Return whether an engine that has not run the request has a free slot.

    If the present engine is silent, any engine that is heard is better.
    """
    now_s, location = context.now_s, context.location
    needs_slot = present_engine is None or not present_engine.is_silent(now_s)
    requirements = engine_choice.make_requirements(
        record, context, record.possibly_run_at
    )
    for engine in load_balancing.eligible_engines(
        context.registry, requirements, location, now_s
    ):
        if engine.is_avoided(now_s):
            continue
        if not needs_slot and not engine.is_silent(now_s):
            return True
        if engine_waits.free_slots(engine, location, now_s) >= 1:
            return True
    return False
