"""Runs a stand-in that serves HTTP as a program of its own."""

import argparse

from twisted.internet import endpoints, reactor
from twisted.web import resource, server


def make_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser of the arguments that all these programs have."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--interface", default="127.0.0.1")
    return parser


def serve(root: resource.Resource, options: argparse.Namespace) -> None:
    """Serve a resource until the process is stopped."""
    listener = endpoints.TCP4ServerEndpoint(
        reactor, options.port, interface=options.interface
    )
    listener.listen(server.Site(root))
    reactor.run()


def get_argument(request: server.Request, name: bytes) -> str:
    """Return an argument of a request's query, or an empty string."""
    return request.args.get(name, [b""])[0].decode()
