"""Reads the list of backends from etcd over its JSON gateway: connections, authentication and timers.

`EtcdDiscovery` performs the actions of `EtcdWatcher` and passes the results back as events; it makes no
decisions itself. It holds at most two connections, both to the endpoint in use: one for the watch and one
for all other calls. Long responses are parsed in slices, so that thousands of members do not block the event
loop.
"""

from __future__ import annotations

import asyncio
import logging
import random
import socket
import ssl
from collections.abc import Callable, Coroutine
from functools import partial
from typing import cast

from balancer.core.discovery.endpoint_merger import (
    EndpointsListed,
    SourceConfirmedCurrent,
    SourceLost,
    SourceRejected,
)
from balancer.core.discovery.etcd_watcher import messages as watcher_messages
from balancer.core.discovery.etcd_watcher.config import EtcdConfig, parse_endpoint_url
from balancer.core.discovery.etcd_watcher.messages import CallFault
from balancer.core.discovery.etcd_watcher.watcher import EtcdWatcher
from balancer.core.staggering import StaggeredSchedule
from balancer.endpoints import InvalidEntry
from balancer.protocol.etcd_entry import parse_entry
from balancer.protocol.etcd_watch import responses as etcd_responses
from balancer.protocol.etcd_watch.requests import RequestBuilder
from balancer.protocol.etcd_watch.response_decoder import CallKind, ResponseDecoder

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0  # covers name resolution, the TCP connect and the TLS handshake
MAX_PARSE_DURATION_S = 0.002  # in one turn of the event loop
PARSE_SLICE_ENTRIES = 100  # parsed in one turn of the event loop
KEEPALIVE_OPTIONS = {"TCP_KEEPIDLE": 15, "TCP_KEEPINTVL": 5, "TCP_KEEPCNT": 3}  # seconds, seconds, probes

Emit = Callable[[EndpointsListed | SourceConfirmedCurrent | SourceLost | SourceRejected], None]


class EtcdConnection(asyncio.Protocol):
    """One connection to an etcd endpoint, which carries one call at a time.

    `on_message` is called with each message of the call, and with None when the call has ended.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.decoder: ResponseDecoder | None = None
        self.on_message: Callable[[etcd_responses.Message | None], None] = lambda message: None
        self.has_received_data = False  # part of the response has arrived
        self.is_closed = False
        self._pump_handle: asyncio.Handle | None = None

    @property
    def is_idle(self) -> bool:
        """Whether another call can be sent, as far as this side knows."""
        return self.decoder is None and self.transport is not None and not self.transport.is_closing()

    def send_call(
        self, kind: CallKind, data: bytes, on_message: Callable[[etcd_responses.Message | None], None]
    ) -> None:
        """Send a call whose messages are passed to `on_message`."""
        assert self.is_idle and self.transport is not None
        self.decoder, self.on_message, self.has_received_data = ResponseDecoder(kind), on_message, False
        self.transport.write(data)

    async def call(self, kind: CallKind, data: bytes) -> etcd_responses.Message:
        """Send a call that has a single response and return it.

        An unreadable or missing response is returned as `InvalidResponse`; no exception is raised. A caller
        that cancels this coroutine must close the connection, since the response may still arrive.
        """
        response: asyncio.Future[etcd_responses.Message] = asyncio.get_running_loop().create_future()

        def on_message(message: etcd_responses.Message | None) -> None:
            if not response.done():
                response.set_result(
                    message
                    or etcd_responses.InvalidResponse(etcd_responses.ResponseFault.TRUNCATED, "no answer")
                )

        self.send_call(kind, data, on_message)
        return await response

    def close(self) -> None:
        """Close the connection; no further message is delivered."""
        self.is_closed = True
        self.decoder = None
        if self._pump_handle is not None:
            self._pump_handle.cancel()
        if self.transport is not None:
            self.transport.abort()

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable TCP keep-alive, which distinguishes a dead connection from a watch without events."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option_name, value in KEEPALIVE_OPTIONS.items():
                if (option := getattr(socket, option_name, None)) is not None:
                    sock.setsockopt(socket.IPPROTO_TCP, option, value)
        if self.is_closed:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response; data outside a call closes the connection."""
        if self.decoder is None:
            self.close()
            return
        self.has_received_data = True
        self.decoder.feed(data)
        if self._pump_handle is None:
            self._pump()

    def connection_lost(self, exc: Exception | None) -> None:
        """Parse what is buffered, then end the call."""
        if self.decoder is not None:
            self.decoder.feed_end()
            if self._pump_handle is None:
                self._pump()

    def _pump(self) -> None:
        """Deliver messages up to the time limit; the rest follows in the next turn of the event loop.

        Reading is paused until then, so that the peer cannot send faster than messages are handled.
        """
        loop, decoder = asyncio.get_running_loop(), self.decoder
        self._pump_handle = None
        slice_end_s = loop.time() + MAX_PARSE_DURATION_S
        while decoder is not None and decoder is self.decoder:
            message = decoder.pull()
            if message is None:
                break
            self.on_message(message)
            if loop.time() > slice_end_s and decoder is self.decoder and decoder.has_pending:
                self._pump_handle = loop.call_soon(self._pump)
                self._set_reading(False)
                return
        self._set_reading(True)
        if decoder is not None and decoder is self.decoder and decoder.has_ended:
            self.decoder = None
            if not decoder.is_reusable:
                self.close()
            self.on_message(None)

    def _set_reading(self, enabled: bool) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if enabled and not self.transport.is_reading():
            self.transport.resume_reading()
        elif not enabled and self.transport.is_reading():
            self.transport.pause_reading()


class EtcdDiscovery:
    """Watches the members below a prefix and passes changes to `emit`, for the endpoint merger.

    A stopped source can be started again. Changed settings need a new source, which continues from the
    `resume_position` of the old one. Where the settings limit the load on etcd, `node_index` and `node_count`
    give this node its time slot.

    Raises:
        ValueError: An endpoint URL is invalid or a TLS file cannot be read.
    """

    def __init__(
        self,
        config: EtcdConfig,
        emit: Emit,
        *,
        name: str = "etcd",
        resume_position: tuple[str, int] | None = None,
        rng: random.Random | None = None,
        node_index: int = 0,
        node_count: int = 1,
    ) -> None:
        self.config, self.emit, self.name = config, emit, name
        self.prefix = config.prefix.encode()
        self.endpoint_addresses = [parse_endpoint_url(url) for url in config.endpoints]
        self.ssl_context = (
            _create_ssl_context(config)
            if any(uses_tls for _, _, uses_tls in self.endpoint_addresses)
            else None
        )
        self.request_builders = [
            RequestBuilder(_host_header(host, port), self.prefix) for host, port, _ in self.endpoint_addresses
        ]
        self.rng = rng or random.Random()
        self.initial_position = resume_position
        self.node_index, self.node_count = node_index, node_count
        self.watcher = self._create_watcher()
        self.is_running = False
        self._token: str | None = None  # "" if authentication is disabled in etcd
        self._call_connection: EtcdConnection | None = None
        self._watch_connection: EtcdConnection | None = None
        self._call_task: asyncio.Task[None] | None = None
        self._watch_task: asyncio.Task[None] | None = None
        self._timers: dict[int, asyncio.TimerHandle] = {}

    def _create_watcher(self) -> EtcdWatcher:
        endpoint_count, epoch = len(self.endpoint_addresses), self.config.epoch
        endpoint_names, max_fetches_per_s = self.config.endpoints, self.config.bears
        time_slots = (
            None
            if max_fetches_per_s is None or self.node_count == 1
            else StaggeredSchedule(self.node_index, self.node_count, max_fetches_per_s)
        )
        return EtcdWatcher(
            self.name,
            endpoint_count,
            self.rng,
            epoch=epoch,
            resume_from=self.initial_position,
            endpoint_names=endpoint_names,
            time_slots=time_slots,
        )

    @property
    def resume_position(self) -> tuple[str, int] | None:
        """The cluster identity and the newest revision delivered from it, for a source that replaces this."""
        return None if self.watcher.cluster_id is None else (self.watcher.identity, self.watcher.min_revision)

    def start(self) -> None:
        """Start watching; needs a running event loop. Continues from the position before the last `stop`."""
        if self.is_running:
            return
        self.initial_position = self.resume_position or self.initial_position
        self.watcher, self.is_running = self._create_watcher(), True
        self._dispatch(watcher_messages.WatcherStarted())

    def stop(self) -> None:
        """Stop watching; all connections are closed on return."""
        if not self.is_running:
            return
        self._dispatch(watcher_messages.WatcherStopped())
        self.is_running = False
        self._close_connections()
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

    # --- actions of the watcher

    def _dispatch(self, event: watcher_messages.Event) -> None:
        if not self.is_running:
            return
        for action in self.watcher.handle(asyncio.get_running_loop().time() * 1000, event):
            if not self.is_running:
                return  # the receiver of an update has stopped this source
            self._perform(action)

    def _perform(self, action: watcher_messages.Action) -> None:
        loop = asyncio.get_running_loop()
        match action:
            case watcher_messages.CheckEndpoint():
                self._start_call(partial(self._check_endpoint, action))
            case watcher_messages.FetchSnapshotPage():
                self._start_call(partial(self._fetch_page, action))
            case watcher_messages.OpenWatch():
                self._close_watch()
                self._watch_task = loop.create_task(self._open_watch(action))
            case watcher_messages.CloseWatch():
                self._close_watch()
            case watcher_messages.CloseConnections():
                self._close_connections()
            case watcher_messages.SetTimer():
                self._timers[action.token] = loop.call_at(action.at_ms / 1000, self._on_timer, action.token)
            case watcher_messages.DeliverUpdate():
                self.emit(action.update)
            case watcher_messages.WriteLog():
                log.log(logging.INFO if action.level == "info" else logging.WARNING, "%s", action.text)

    def _on_timer(self, token: int) -> None:
        del self._timers[token]
        self._dispatch(watcher_messages.TimerFired(token))

    def _close_watch(self) -> None:
        if self._watch_task is not None:
            self._watch_task.cancel()
        if self._watch_connection is not None:
            self._watch_connection.close()
        self._watch_task = self._watch_connection = None

    def _close_connections(self) -> None:
        self._close_watch()
        if self._call_task is not None:
            self._call_task.cancel()
        if self._call_connection is not None:
            self._call_connection.close()
        self._call_task = self._call_connection = None

    # --- calls

    def _start_call(self, call: Callable[[], Coroutine[None, None, watcher_messages.Event]]) -> None:
        """Start a call in place of any previous one, which the watcher no longer expects."""
        if self._call_task is not None and not self._call_task.done():
            self._call_task.cancel()
            if self._call_connection is not None:
                self._call_connection.close()
        self._call_task = asyncio.get_running_loop().create_task(self._run_call(call))

    async def _run_call(self, call: Callable[[], Coroutine[None, None, watcher_messages.Event]]) -> None:
        event = await call()
        self._call_task = None  # `_dispatch` may start the next call, which must not cancel this task
        self._dispatch(event)

    async def _check_endpoint(self, action: watcher_messages.CheckEndpoint) -> watcher_messages.Event:
        build_request = partial(
            self.request_builders[action.endpoint_index].check_request, count=action.counts_keys
        )
        message = await self._send_range_request(action.endpoint_index, build_request)
        if isinstance(message, etcd_responses.RangePage):
            key_count = message.key_count if action.counts_keys else None
            return watcher_messages.CheckAnswered(action.call_id, _position(message.header), key_count)
        return self._to_call_failed(action.call_id, message)

    async def _fetch_page(self, action: watcher_messages.FetchSnapshotPage) -> watcher_messages.Event:
        def build_request(token: str) -> bytes:
            request_builder = self.request_builders[action.endpoint_index]
            return request_builder.range_request(action.after_key, action.revision, action.max_keys, token)

        message = await self._send_range_request(action.endpoint_index, build_request)
        if not isinstance(message, etcd_responses.RangePage):
            return self._to_call_failed(action.call_id, message)
        entries: list[watcher_messages.EntryUpdate] = []
        for start in range(0, len(message.key_values), PARSE_SLICE_ENTRIES):
            entries += [
                parse_entry(kv, self.prefix, self.config.format)
                for kv in message.key_values[start : start + PARSE_SLICE_ENTRIES]
            ]
            await asyncio.sleep(0)
        entries += [
            InvalidEntry(f"/entry {n}", reason) for n, reason in enumerate(message.unreadable_entries)
        ]
        last_key = message.key_values[-1].key if message.key_values else b""
        position = _position(message.header)
        return watcher_messages.SnapshotPageReceived(
            action.call_id, position, tuple(entries), last_key, message.has_more, message.key_count
        )

    async def _open_watch(self, action: watcher_messages.OpenWatch) -> None:
        def on_message(message: etcd_responses.Message | None) -> None:
            if self._watch_connection is connection:
                self._dispatch(self._to_watcher_event(action.call_id, message))

        failed_response = await self._authenticate(action.endpoint_index)
        try:
            if failed_response is None:
                connection = await self._connect(action.endpoint_index)
        except (OSError, TimeoutError, UnicodeError) as err:  # UnicodeError: an invalid host name
            failed_response = etcd_responses.InvalidResponse(
                etcd_responses.ResponseFault.TRUNCATED, _connect_error_text(err)
            )
        self._watch_task = None
        if failed_response is not None:
            self._dispatch(self._to_call_failed(action.call_id, failed_response))
            return
        self._watch_connection = connection
        watch_request = self.request_builders[action.endpoint_index].watch_request(
            action.start_revision, self._token or ""
        )
        connection.send_call(CallKind.WATCH, watch_request, on_message)

    def _to_watcher_event(
        self, call_id: int, message: etcd_responses.Message | None
    ) -> watcher_messages.Event:
        """Convert a message of the watch to an event of the watcher."""
        match message:
            case etcd_responses.WatchCreated(header):
                return watcher_messages.WatchCreated(call_id, _position(header))
            case etcd_responses.WatchProgress(header):
                return watcher_messages.WatchProgressed(call_id, _position(header))
            case etcd_responses.WatchEvents(header, events, fragment):
                changes = (
                    watcher_messages.WatchEvent(
                        kv.mod_revision, parse_entry(kv, self.prefix, self.config.format), not kv.is_deleted
                    )
                    for kv in events
                )
                return watcher_messages.WatchEventsReceived(
                    call_id, _position(header), tuple(changes), fragment
                )
            case etcd_responses.WatchCanceled(_, compacted, reason):
                # etcd reports the error of a canceled watch only as text, without its gRPC code.
                return watcher_messages.WatchCanceled(
                    call_id, compacted, self._classify_error(etcd_responses.GatewayError(0, reason)), reason
                )
            case None:
                return watcher_messages.CallFailed(call_id, CallFault.FAILED, "the connection ended")
            case _:
                return self._to_call_failed(call_id, message)

    def _to_call_failed(self, call_id: int, message: etcd_responses.Message) -> watcher_messages.CallFailed:
        match message:
            case etcd_responses.GatewayError(message=text, http_status=status):
                retry_after_ms = 1000.0 * message.retry_after_s
                return watcher_messages.CallFailed(
                    call_id, self._classify_error(message), text or f"HTTP status {status}", retry_after_ms
                )
            case etcd_responses.InvalidResponse(fault, _):
                faults = {
                    etcd_responses.ResponseFault.TOO_LARGE: CallFault.TOO_LARGE,
                    etcd_responses.ResponseFault.TRUNCATED: CallFault.FAILED,
                }
                text = message.detail if fault is etcd_responses.ResponseFault.TRUNCATED else str(message)
                return watcher_messages.CallFailed(call_id, faults.get(fault, CallFault.UNREADABLE), text)
            case _:
                return watcher_messages.CallFailed(
                    call_id, CallFault.UNREADABLE, f"unexpected response {type(message).__name__}"
                )

    def _classify_error(self, error: etcd_responses.GatewayError) -> CallFault:
        if error.is_compacted:
            return CallFault.COMPACTED
        if self.config.user and (
            error.is_token_expired or (self._token == "" and error.is_permission_denied)
        ):
            self._token = None  # the next call authenticates first
            return CallFault.TOKEN_EXPIRED
        if error.is_token_expired or error.is_permission_denied:
            return CallFault.PERMISSION_DENIED
        return CallFault.OVERLOADED if error.is_overloaded else CallFault.FAILED

    async def _send_range_request(
        self, endpoint_index: int, build_request: Callable[[str], bytes]
    ) -> etcd_responses.Message:
        """Send a range request, after authenticating if there is no token. Never raises."""
        if (failed_response := await self._authenticate(endpoint_index)) is not None:
            return failed_response
        return await self._send_request(endpoint_index, CallKind.RANGE, build_request(self._token or ""))

    async def _authenticate(self, endpoint_index: int) -> etcd_responses.Message | None:
        """Obtain a token if one is needed. Returns the response if authentication failed, else None."""
        if not self.config.user or self._token is not None:
            return None
        data = self.request_builders[endpoint_index].authenticate_request(
            self.config.user, self.config.password or ""
        )
        message = await self._send_request(endpoint_index, CallKind.AUTHENTICATE, data)
        if isinstance(message, etcd_responses.Authenticated):
            self._token = message.token
        elif isinstance(message, etcd_responses.GatewayError) and message.is_auth_disabled:
            self._token = ""
        else:
            return message
        return None

    async def _send_request(self, endpoint_index: int, kind: CallKind, data: bytes) -> etcd_responses.Message:
        """Send one call on the open connection or on a new one. Never raises.

        The peer may have closed a kept-alive connection in the meantime. The call is then repeated once on a
        new connection, which is safe since all calls are read-only.
        """
        try:
            if (connection := self._call_connection) is not None and connection.is_idle:
                message = await connection.call(kind, data)
                if not isinstance(message, etcd_responses.InvalidResponse) or connection.has_received_data:
                    return message
            if self._call_connection is not None:
                self._call_connection.close()  # an abandoned call may still be in flight on it
            self._call_connection = connection = await self._connect(endpoint_index)
            return await connection.call(kind, data)
        except (OSError, TimeoutError, UnicodeError) as err:  # UnicodeError: an invalid host name
            return etcd_responses.InvalidResponse(
                etcd_responses.ResponseFault.TRUNCATED, _connect_error_text(err)
            )

    async def _connect(self, endpoint_index: int) -> EtcdConnection:
        host, port, uses_tls = self.endpoint_addresses[endpoint_index]
        loop, connection = asyncio.get_running_loop(), EtcdConnection()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(
                    lambda: connection, host, port, ssl=self.ssl_context if uses_tls else None
                )
        except BaseException:
            connection.close()
            raise
        return connection


def _create_ssl_context(config: EtcdConfig) -> ssl.SSLContext:
    """Create the TLS context of the client; raises ValueError naming a file that cannot be used."""
    try:
        context = ssl.create_default_context(cafile=config.ca)
    except (OSError, ssl.SSLError) as err:
        raise ValueError(f"ca {config.ca!r} cannot be used: {err}") from None
    if config.cert is not None:
        try:
            context.load_cert_chain(config.cert, config.key)
        except (OSError, ssl.SSLError) as err:
            raise ValueError(f"cert {config.cert!r} with key {config.key!r} cannot be used: {err}") from None
    return context


def _host_header(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _position(header: etcd_responses.ResponseHeader) -> watcher_messages.Position:
    return watcher_messages.Position(header.cluster_id, header.revision, header.raft_term)


def _connect_error_text(err: Exception) -> str:
    text = str(err) or "timed out"
    return f"no connection: {text}"[:200]
