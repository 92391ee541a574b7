"""Assembles the daemon of an entry instance: its machine and its adapters."""

from toucanspread.core import data, machine, roles
from toucanspread.core.agreement import plans
from toucanspread.ops import (
    caller_api,
    daemon,
    datagram_transport,
    dispatcher,
    grpc_transport,
    instance_list,
    key_value,
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
    add_adapters(process, options, state_machine)
    return process.run()


def add_adapters(
    process: daemon.Daemon,
    options: settings.EntrySettings,
    state_machine: machine.Machine,
) -> None:
    """Add the adapters of an entry: transports, platform clients and HTTP servers."""
    node_runtime = process.runtime
    identity = state_machine.node.identity
    transport = grpc_transport.GrpcTransport(identity, node_runtime.post)
    operators = operator_api.OperatorApi(node_runtime)
    callers = caller_api.CallerApi(
        node_runtime,
        identity.http_address,
        options.max_body_bytes,
        v1=operators.resources(),
        root={b"metrics": operator_api.MetricsResource()},
    )
    key_value_service = key_value.HttpKeyValueService(options.key_value_url)
    instances = instance_list.HttpInstanceList(options.instance_list_url)
    node_runtime.add(transport)
    node_runtime.add(
        datagram_transport.DatagramTransport(
            identity, node_runtime.post, transport.send
        )
    )
    node_runtime.add(key_value.KeyValueAdapter(key_value_service, node_runtime.post))
    node_runtime.add(instance_list.InstanceListAdapter(instances, node_runtime.post))
    node_runtime.add(operators)
    node_runtime.add(callers)
    node_runtime.add(dispatcher.Dispatcher(node_runtime, transport, callers))
