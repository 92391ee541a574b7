"""The daemon of an entry instance: the entry machine with its adapters."""

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
    stepper = roles.build_entry(
        identity, seed, daemon.parse_seed_addresses(options), costs
    )
    process = daemon.Daemon(stepper, seed)
    add_adapters(process, options, stepper)
    return process.run()


def add_adapters(
    process: daemon.Daemon, options: settings.EntrySettings, stepper: machine.Machine
) -> None:
    """Give an entry its ways to the outside."""
    host = process.runtime
    identity = stepper.node.identity
    channel = grpc_transport.GrpcTransport(identity, host.post)
    console = operator_api.OperatorApi(host)
    front = caller_api.CallerApi(
        host,
        identity.http_address,
        options.max_body_bytes,
        v1=console.resources(),
        root={b"metrics": operator_api.MetricsResource()},
    )
    service = key_value.HttpKeyValueService(options.key_value_url)
    listed = instance_list.HttpInstanceList(options.instance_list_url)
    host.add(channel)
    host.add(datagram_transport.DatagramTransport(identity, host.post, channel.send))
    host.add(key_value.KeyValueAdapter(service, host.post))
    host.add(instance_list.InstanceListAdapter(listed, host.post))
    host.add(console)
    host.add(front)
    host.add(dispatcher.Dispatcher(host, channel, front))
