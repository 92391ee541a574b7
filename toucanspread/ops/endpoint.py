"""The daemon of an endpoint instance: the endpoint machine with its adapters."""

import urllib.parse

from twisted.internet import reactor
from twisted.web import resource, server

from toucanspread.core import data, machine, roles
from toucanspread.ops import (
    daemon,
    datagram_transport,
    engine,
    engine_adapter,
    gateway,
    grpc_transport,
    instance_list,
    key_value,
    operator_api,
    origin,
    runtime,
    settings,
    transfer_adapter,
)


def run(options: settings.EndpointSettings) -> int:
    """Run an endpoint process until it has drained, and return its exit code."""
    identity = settings.build_identity(
        options, data.Role.ENDPOINT, daemon.new_incarnation()
    )
    seed = daemon.choose_seed(options.seed)
    stepper = roles.build_endpoint(
        identity,
        seed,
        build_machine_options(options),
        daemon.parse_seed_addresses(options),
    )
    process = daemon.Daemon(stepper, seed)
    add_adapters(process, options, stepper)
    return process.run()


def build_machine_options(options: settings.EndpointSettings) -> roles.EndpointOptions:
    """Return what the machine has to know of the settings."""
    kind = data.ServiceKind.MODEL if options.engine_url else data.ServiceKind.PLAIN
    return roles.EndpointOptions(
        kind,
        data.ServiceName(options.service),
        options.concurrency,
        data.RegionName(options.origin_region),
    )


def add_adapters(
    process: daemon.Daemon,
    options: settings.EndpointSettings,
    stepper: machine.Machine,
) -> None:
    """Give an endpoint process its ways to the outside."""
    host = process.runtime
    identity = stepper.node.identity
    channel = grpc_transport.GrpcTransport(identity, host.post)
    service = key_value.HttpKeyValueService(options.key_value_url)
    listed = instance_list.HttpInstanceList(options.instance_list_url)
    host.add(channel)
    host.add(datagram_transport.DatagramTransport(identity, host.post, channel.send))
    host.add(key_value.KeyValueAdapter(service, host.post))
    host.add(instance_list.InstanceListAdapter(listed, host.post))
    if options.engine_url:
        gate_adapter = _add_engine(host, options, stepper, channel)
    else:
        plain = engine.HttpPlainService.from_config(_netloc(options.plain_service_url))
        gate_adapter = gateway.Gateway(host.post, plain_service=plain)
    host.add(gate_adapter)
    channel.serve_dispatch(gate_adapter.handle)
    if options.metrics_address:
        host.add(MetricsServer(data.Address(options.metrics_address)))


def _add_engine(
    host: runtime.Runtime,
    options: settings.EndpointSettings,
    stepper: machine.Machine,
    channel: grpc_transport.GrpcTransport,
) -> gateway.Gateway:
    local_engine = engine.HttpEngine.from_config(_netloc(options.engine_url))
    host.add(engine_adapter.EngineAdapter(local_engine, host.post))
    host.add(
        transfer_adapter.TransferAdapter(
            stepper.node.transfer,
            channel,
            local_engine,
            origin.HttpOrigin.from_config(options.origin_url),
            host.post,
            options.upload_rate_bytes_s,
            options.download_rate_bytes_s,
        )
    )
    return gateway.Gateway(host.post, model_engine=local_engine)


def _netloc(url: str) -> data.Address:
    return data.Address(urllib.parse.urlsplit(url).netloc)


class MetricsServer(runtime.Adapter):
    """Serves ``/metrics`` of a process that has no other HTTP server."""

    def __init__(self, address: data.Address):
        self._address = address
        self._listener = None

    async def start(self) -> None:
        """Listen."""
        root = resource.Resource()
        root.putChild(b"metrics", operator_api.MetricsResource())
        host, _, port = self._address.rpartition(":")
        self._listener = reactor.listenTCP(int(port), server.Site(root), interface=host)

    async def stop(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            self._listener.stopListening()

    def handlers(self) -> dict:
        """Carry out no effects."""
        return {}
