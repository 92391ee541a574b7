"""Adapters of both daemons: transports between processes, clients of the platform."""

from toucanspread.ops import (
    daemon,
    datagram_transport,
    grpc_transport,
    instance_list,
    key_value,
    settings,
)


def add(
    process: daemon.Daemon, options: settings.Settings
) -> grpc_transport.GrpcTransport:
    """Add the adapters to a daemon and return its gRPC transport."""
    node_runtime = process.runtime
    identity = process.identity
    transport = grpc_transport.GrpcTransport(identity, node_runtime.post)
    datagrams = datagram_transport.DatagramTransport(
        identity, node_runtime.post, transport.send
    )
    key_value_service = key_value.HttpKeyValueService(options.key_value_url)
    instances = instance_list.HttpInstanceList(options.instance_list_url)
    node_runtime.add(transport)
    node_runtime.add(datagrams)
    node_runtime.add(key_value.KeyValueAdapter(key_value_service, node_runtime.post))
    node_runtime.add(instance_list.InstanceListAdapter(instances, node_runtime.post))
    return transport
