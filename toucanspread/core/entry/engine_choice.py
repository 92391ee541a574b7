"""Chooses the engine for a request, and tells how long one that has none may wait.

:mod:`toucanspread.core.entry.load_balancing` ranks the engines; here is what a request
requires of them, with the engines that it has tried.
"""

from toucanspread.core.entry import (
    cold_engines,
    coming_engines,
    decision_context,
    decisions,
    engine_obstacles,
    engine_requirements,
    engines,
    load_balancing,
    request_record,
)


def choose_engine(
    record: request_record.RequestRecord,
    context: decision_context.Context,
    skips_limited: bool,
) -> engines.Engine | None:
    """Return an engine that has not been tried, or else one that rejected the request.

    Only a request that can't wait goes to an engine whose trial isn't over.

    :param skips_limited: whether engines that name a limit are left out.
    """
    requirements = _make_choice_requirements(record, context)._replace(
        skips_limited=skips_limited
    )
    engine = _choose(requirements, context)
    if engine is None and not record.can_be_queued:
        requirements = requirements._replace(skips_trials=False)
        engine = _choose(requirements, context)
    if engine is None and record.tried and _may_try_again(record):
        engine = _choose(requirements._replace(excluded=frozenset()), context)
    return engine


def choose_move(
    record: request_record.RequestRecord, context: decision_context.Context
) -> engines.Engine | None:
    """Return an engine for a request that its silent engine keeps meanwhile."""
    requirements = _make_choice_requirements(record, context)
    engine = _choose(requirements, context)
    if engine is not None:
        return engine
    return _choose(requirements._replace(excluded=record.possibly_run_at), context)


def _make_choice_requirements(
    record: request_record.RequestRecord, context: decision_context.Context
) -> engine_requirements.EngineRequirements:
    return make_requirements(record, context, record.tried)._replace(
        likely_tokens=record.likely_tokens_left,
        was_interrupted=record.possible_runs > 0,
        skips_trials=True,
    )


def make_requirements(
    record: request_record.RequestRecord,
    context: decision_context.Context,
    excluded: frozenset[str] = frozenset(),
) -> engine_requirements.EngineRequirements:
    """Return what the request requires of its engine.

    :param excluded: ids of engines that it may not go to.
    """
    return engine_requirements.EngineRequirements(
        record.service,
        context.minimum_version,
        excluded,
        upcoming_versions=context.upcoming_versions,
        prefill_s=record.timing.prefill_s,
        rate_per_s=context.retry_budgets.request_rate_per_s(
            record.service.name, context.now_s
        ),
        allowed_regions=record.allowed_regions,
        call=record.call,
    )


def limit_wait_s(
    record: request_record.RequestRecord, context: decision_context.Context
) -> float:
    """Return the time until a suitable engine's limit allows the request."""
    return load_balancing.limit_wait_s(
        context.registry,
        _make_next_requirements(record, context),
        context.location,
        context.now_s,
    )


def backoff_wait_s(
    record: request_record.RequestRecord, context: decision_context.Context
) -> float:
    """Return the time until the first backoff of an engine ends."""
    return _wait_for_end_s(engine_obstacles.Cause.BACKOFF, record, context)


def trial_wait_s(
    record: request_record.RequestRecord, context: decision_context.Context
) -> float:
    """Return the longest time until the first trial of an engine ends."""
    return _wait_for_end_s(engine_obstacles.Cause.TRIAL, record, context)


def _wait_for_end_s(
    cause: engine_obstacles.Cause,
    record: request_record.RequestRecord,
    context: decision_context.Context,
) -> float:
    requirements = _make_next_requirements(record, context)
    return load_balancing.wait_for_end_s(
        cause,
        context.registry,
        requirements._replace(skips_trials=True),
        context.location,
        context.now_s,
    )


def cold_wait_s(
    record: request_record.RequestRecord,
    context: decision_context.Context,
    queued_prefill_s: float = 0.0,
) -> float:
    """Return the time until this entry may send the request to a cold engine.

    It is infinite if there is no cold engine.

    :param queued_prefill_s: total ``prefill_s`` of the requests that wait before it.
    """
    senders = context.location.senders
    if record.service.cold_per_s <= 0 or senders is None:
        return float("inf")
    requirements = _make_next_requirements(record, context)
    waits_s = load_balancing.list_cold_waits_s(
        context.registry, requirements, context.location, context.now_s
    )
    queued_count = 0.0
    if queued_prefill_s > 0 and record.timing.prefill_s > 0:
        queued_count = queued_prefill_s / record.timing.prefill_s
    return cold_engines.estimate_queue_wait_s(
        min(waits_s, default=0.0),
        queued_count,
        len(waits_s),
        senders.compute_interval_s(record.service.cold_per_s),
    )


def load_wait_s(
    record: request_record.RequestRecord, context: decision_context.Context
) -> float:
    """Return the time until an engine has loaded weights for the request."""
    requirements = make_requirements(record, context, record.tried)
    waits_s = coming_engines.list_waits_s(context.registry, requirements, context.now_s)
    return min(waits_s, default=float("inf"))


def _make_next_requirements(
    record: request_record.RequestRecord, context: decision_context.Context
) -> engine_requirements.EngineRequirements:
    """Return what the request requires of the engine that it is sent to next."""
    excluded = frozenset() if _may_try_again(record) else record.tried
    return make_requirements(record, context, excluded)


def _choose(
    requirements: engine_requirements.EngineRequirements,
    context: decision_context.Context,
) -> engines.Engine | None:
    return load_balancing.choose_engine(
        context.registry,
        requirements,
        context.location,
        context.now_s,
        context.random_source,
    )


def _may_try_again(record: request_record.RequestRecord) -> bool:
    """Return whether the request may go to an engine that it was sent to before."""
    return record.last_failure in decisions.NOT_RUN_FAILURES
