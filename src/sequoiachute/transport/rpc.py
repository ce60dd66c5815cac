"""Unary RPC between the project's processes: grpclib under eventlet."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

import eventlet
import msgspec
from eventlet.asyncio import spawn_for_awaitable
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server
from loguru import logger
from result import Err, Ok, Result

from sequoiachute import clock
from sequoiachute.errors import RpcError, describe_failure
from sequoiachute.protocol.codec import MessageCodec
from sequoiachute.protocol.messages import Method
from sequoiachute.transport.address import ADDRESS_REMEDY, parse_address

CONNECT_TIMEOUT_SECONDS = 1.0
TIMEOUTS_BEFORE_RECONNECT = 2
IDLE_POLL_INTERVAL_SECONDS = 0.05
REPLY_FLUSH_SECONDS = 0.2  # grpclib may still be sending the last replies

RpcHandler = Callable[[Any], Any]


class RpcServer:
    """Serves RPC methods, each call in its own green thread.

    Parameters
    ----------
    handlers : mapping of Method to callable
        Handler of each method; takes the request message and returns the reply.
    """

    def __init__(self, handlers: Mapping[Method, RpcHandler]) -> None:
        self._handlers = handlers
        self._server: Server | None = None
        self._open_calls = 0

    def __mapping__(self) -> dict[str, Handler]:
        """Return the table that grpclib dispatches on."""
        table = {}
        for method, handler in self._handlers.items():
            table[method.path] = Handler(
                self._create_handler(handler),
                Cardinality.UNARY_UNARY,
                method.request,
                method.reply,
            )
        return table

    def start(self, host: str, port: int) -> None:
        """Start listening on ``host`` and ``port``.

        Raises
        ------
        OSError
            If the address can't be listened on.
        """
        self._server = Server([self], codec=MessageCodec())
        error = spawn_for_awaitable(_listen(self._server, host, port)).wait()
        if error is not None:
            raise error

    def stop(self) -> None:
        """Stop listening and wait for the calls in progress to end."""
        if self._server is None:
            return
        self._server.close()
        spawn_for_awaitable(self._server.wait_closed()).wait()

    def wait_idle(self, timeout: float) -> bool:
        """Wait up to ``timeout`` seconds until no call is in progress.

        Returns
        -------
        bool
            Whether every call has been answered.
        """
        deadline = clock.now() + timeout
        while self._open_calls:
            if clock.now() >= deadline:
                return False
            clock.sleep(IDLE_POLL_INTERVAL_SECONDS)
        clock.sleep(REPLY_FLUSH_SECONDS)
        return True

    def _create_handler(self, handler: RpcHandler) -> Callable[[Any], Any]:
        async def serve(stream: Any) -> None:
            self._open_calls += 1
            try:
                message = await _receive(stream)
                future = asyncio.get_running_loop().create_future()
                eventlet.spawn(_run_handler, handler, message, future)
                await stream.send_message(await future)
            finally:
                self._open_calls -= 1

        return serve


async def _receive(stream: Any) -> Any:
    try:
        return await stream.recv_message()
    except msgspec.DecodeError as error:
        raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error


async def _listen(server: Server, host: str, port: int) -> OSError | None:
    """Start ``server``; return the error if it can't listen, else ``None``."""
    try:
        await server.start(host, port)
    except OSError as error:
        return error
    return None


def _run_handler(handler: RpcHandler, message: Any, future: asyncio.Future) -> None:
    try:
        reply = handler(message)
    except Exception as error:
        message_type = type(message).__name__
        logger.error(
            "RPC handler of {} failed: {}", message_type, describe_failure(error)
        )
        if not future.done():
            future.set_exception(GRPCError(Status.INTERNAL, type(error).__name__))
        return
    if not future.done():
        future.set_result(reply)


class RpcClient:
    """Calls the methods of one peer over one connection, reopened as needed.

    A connection on which ``TIMEOUTS_BEFORE_RECONNECT`` calls in a row time out
    may be half open: later calls open a new one, while calls in progress stay
    on the old one.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._endpoint = parse_address(address)
        self._channel = self._open_channel()
        self._consecutive_timeouts = 0
        self._open_calls: dict[Channel, int] = {}

    def _open_channel(self) -> Channel | None:
        if self._endpoint is None:
            return None
        return Channel(*self._endpoint, codec=MessageCodec())

    def call(
        self, method: Method, message: Any, timeout: float
    ) -> Result[Any, RpcError]:
        """Call ``method`` and return its reply.

        The call fails after ``timeout`` seconds, and at once if the address is
        invalid.
        """
        if self._channel is None:
            reason = f"no address; {ADDRESS_REMEDY}"
            return Err(RpcError(self.address, reason, False))
        task = spawn_for_awaitable(self._call(method, message, timeout))
        return task.wait()

    async def _call(
        self, method: Method, message: Any, timeout: float
    ) -> Result[Any, RpcError]:
        channel = self._channel
        self._open_calls[channel] = self._open_calls.get(channel, 0) + 1
        try:
            return await self._call_on(channel, method, message, timeout)
        finally:
            self._open_calls[channel] -= 1
            self._close_if_replaced(channel)

    async def _call_on(
        self, channel: Channel, method: Method, message: Any, timeout: float
    ) -> Result[Any, RpcError]:
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_SECONDS, timeout)):
                await channel.__connect__()
        except (OSError, TimeoutError) as error:
            return Err(RpcError(self.address, f"no connection: {error}", False))
        call = UnaryUnaryMethod(channel, method.path, method.request, method.reply)
        try:
            reply = await call(message, timeout=timeout)
        except GRPCError as error:
            return Err(RpcError(self.address, f"{error.status.name}", True))
        except msgspec.DecodeError as error:
            return Err(RpcError(self.address, f"unreadable reply: {error}", True))
        except (OSError, TimeoutError, StreamTerminatedError) as error:
            if isinstance(error, TimeoutError):
                self._count_timeout(channel)
            reason = f"{type(error).__name__}: {error}"
            return Err(RpcError(self.address, reason, True))
        self._consecutive_timeouts = 0
        return Ok(reply)

    def _count_timeout(self, channel: Channel) -> None:
        if channel is not self._channel:
            return
        self._consecutive_timeouts += 1
        if self._consecutive_timeouts >= TIMEOUTS_BEFORE_RECONNECT:
            self._consecutive_timeouts = 0
            self._channel = self._open_channel()

    def _close_if_replaced(self, channel: Channel) -> None:
        if self._open_calls[channel]:
            return
        del self._open_calls[channel]
        if channel is not self._channel:
            channel.close()

    def close(self) -> None:
        """Close the connection."""
        if self._channel is not None:
            self._channel.close()


class RpcPool:
    """Holds one client per address."""

    def __init__(self) -> None:
        self._clients: dict[str, RpcClient] = {}

    def call(
        self, address: str, method: Method, message: Any, timeout: float
    ) -> Result[Any, RpcError]:
        """Call ``method`` at ``address`` and return its reply.

        The call fails after ``timeout`` seconds.
        """
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = RpcClient(address)
        return client.call(method, message, timeout)

    def disconnect(self, address: str) -> None:
        """Close the connection to ``address``, if there is one."""
        client = self._clients.pop(address, None)
        if client is not None:
            client.close()

    def close(self) -> None:
        """Close every connection."""
        for address in list(self._clients):
            self.disconnect(address)
