"""Assembles the daemon of an entry instance: its machine and its adapters."""

from toucanspread.core import data, roles
from toucanspread.core.agreement import plans
from toucanspread.ops import (
    caller_api,
    common_adapters,
    daemon,
    dispatcher,
    operator_api,
    settings,
)


def run(options: settings.EntrySettings) -> int:
    """Run an entry until it has drained, and return its exit code."""
    identity = settings.build_identity(
        options, data.Role.ENTRY, daemon.new_incarnation()
    )
    seed = daemon.choose_seed(options.seed)
    costs = plans.Costs(store_region=data.RegionName(options.origin_region))
    state_machine = roles.build_entry(
        identity, seed, daemon.parse_seed_addresses(options), costs
    )
    process = daemon.Daemon(state_machine, seed)
    add_adapters(process, options)
    return process.run()


def add_adapters(process: daemon.Daemon, options: settings.EntrySettings) -> None:
    """Add the adapters of an entry: transports, platform clients and HTTP servers."""
    node_runtime = process.runtime
    transport = common_adapters.add(process, options)
    operators = operator_api.OperatorApi(node_runtime)
    callers = caller_api.CallerApi(
        node_runtime,
        process.identity.http_address,
        options.max_body_bytes,
        v1=operators.resources(),
        root={b"metrics": operator_api.MetricsResource()},
    )
    node_runtime.add(operators)
    node_runtime.add(callers)
    node_runtime.add(dispatcher.Dispatcher(node_runtime, transport, callers))
