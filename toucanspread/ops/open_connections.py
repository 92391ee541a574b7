"""Keeps the open connections of a server, and closes them once all is delivered."""

import asyncio

from twisted.internet import interfaces, protocol
from twisted.protocols import policies


class OpenConnections(policies.WrappingFactory):
    """Wraps the factory of a server and keeps the connections that are open.

    :param factory: makes the protocol of each connection.
    """

    noisy = False

    def __init__(self, factory: protocol.Factory):
        super().__init__(factory)
        self._all_closed = asyncio.Event()

    def unregisterProtocol(  # noqa: N802 (name given by Twisted)
        self, connection: interfaces.IProtocol
    ) -> None:
        """Forget a connection that was closed."""
        super().unregisterProtocol(connection)
        if not self.protocols:
            self._all_closed.set()

    async def close_all(self, timeout_s: float) -> bool:
        """Close all connections after what was sent on them; return whether they are.

        :param timeout_s: time for which to wait for clients that read slowly.
        """
        self._all_closed.clear()
        for connection in list(self.protocols):
            connection.loseConnection()
        if not self.protocols:
            return True
        try:
            await asyncio.wait_for(self._all_closed.wait(), timeout_s)
        except TimeoutError:
            return False
        return True
