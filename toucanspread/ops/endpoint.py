"""Assembles the daemon of an endpoint instance: its machine and its adapters."""

import urllib.parse

from twisted.internet import reactor
from twisted.web import resource, server

from toucanspread.core import data, machine, roles
from toucanspread.ops import (
    common_adapters,
    daemon,
    engine,
    engine_adapter,
    gateway,
    grpc_transport,
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
    state_machine = roles.build_endpoint(
        identity,
        seed,
        build_machine_options(options),
        daemon.parse_seed_addresses(options),
    )
    process = daemon.Daemon(state_machine, seed)
    add_adapters(process, options, state_machine)
    return process.run()


def build_machine_options(options: settings.EndpointSettings) -> roles.EndpointOptions:
    """Return the settings that the machine needs."""
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
    state_machine: machine.Machine,
) -> None:
    """Add the adapters of an endpoint: transports, platform and service clients."""
    node_runtime = process.runtime
    transport = common_adapters.add(process, options)
    if options.engine_url:
        gate_adapter = _add_engine_adapters(
            node_runtime, options, state_machine, transport
        )
    else:
        plain_service = engine.HttpPlainService.from_config(
            _parse_netloc(options.plain_service_url)
        )
        gate_adapter = gateway.Gateway(node_runtime.post, plain_service=plain_service)
    node_runtime.add(gate_adapter)
    transport.serve_dispatch(gate_adapter.handle)
    if options.metrics_address:
        node_runtime.add(MetricsServer(data.Address(options.metrics_address)))


def _add_engine_adapters(
    node_runtime: runtime.Runtime,
    options: settings.EndpointSettings,
    state_machine: machine.Machine,
    transport: grpc_transport.GrpcTransport,
) -> gateway.Gateway:
    local_engine = engine.HttpEngine.from_config(_parse_netloc(options.engine_url))
    node_runtime.add(engine_adapter.EngineAdapter(local_engine, node_runtime.post))
    node_runtime.add(
        transfer_adapter.TransferAdapter(
            state_machine.node.transfer,
            transport,
            local_engine,
            origin.HttpOrigin.from_config(options.origin_url),
            node_runtime.post,
            options.upload_rate_bytes_s,
            options.download_rate_bytes_s,
        )
    )
    return gateway.Gateway(node_runtime.post, model_engine=local_engine)


def _parse_netloc(url: str) -> data.Address:
    return data.Address(urllib.parse.urlsplit(url).netloc)


class MetricsServer(runtime.Adapter):
    """Serves ``/metrics`` for a process that has no other HTTP server."""

    def __init__(self, address: data.Address):
        self._address = address
        self._listener = None

    async def start(self) -> None:
        """Start listening."""
        root = resource.Resource()
        root.putChild(b"metrics", operator_api.MetricsResource())
        host, _, port = self._address.rpartition(":")
        self._listener = reactor.listenTCP(int(port), server.Site(root), interface=host)

    async def stop(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            self._listener.stopListening()

    def handlers(self) -> dict:
        """Return no handlers, since this adapter only serves metrics."""
        return {}
