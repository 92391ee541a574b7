"""Decides whether a request whose dispatch failed may go to another engine."""

from toucanspread.core.entry import (
    crash_reports,
    decision_context,
    decisions,
    engine_dispatch,
    request_record,
)

MAX_REJECTION_COUNT = 3  # rejections by engines before the caller is rejected


def claim_retry(
    record: request_record.RequestRecord,
    dispatch: engine_dispatch.Dispatch,
    failure: decisions.DispatchFailure,
    context: decision_context.Context,
) -> decisions.FailureCause | None:
    """Take one retry from the budget if the request may be retried.

    :return: why the request ends instead; None if it is retried.
    """
    if not crash_reports.may_be_sent_again(record, dispatch, failure, context):
        return decisions.FailureCause.REQUEST_CRASHES_ENGINES
    if failure in decisions.NOT_RUN_FAILURES:
        if record.rejections > MAX_REJECTION_COUNT:
            return decisions.FailureCause.ENGINES_FULL
    elif not _may_run_again(record):
        if failure is decisions.DispatchFailure.WITHDRAWN:
            return decisions.FailureCause.WEIGHTS_OUTDATED
        return decisions.FailureCause.ENGINE_FAILED
    if not context.retry_budgets.acquire(
        record.service.name, context.now_s, context.location.entry_count
    ):
        return decisions.FailureCause.RETRY_BUDGET_EXHAUSTED
    return None


def _may_run_again(record: request_record.RequestRecord) -> bool:
    return record.route.is_repeatable and record.possible_runs < record.route.attempts
