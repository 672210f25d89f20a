"""The list of backends from etcd, over its JSON gateway: connections, log-ins, timers. It decides nothing.

`EtcdSource` carries out what `decide.etcd_follow` asks for and hands it what comes back. It holds at most two
connections, both to the endpoint in use: one for the watch, and one for everything else. Long answers are
read in slices, so that the loop is not held up by thousands of members.
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
from balancer.core.discovery.etcd_watcher import messages as ef
from balancer.core.discovery.etcd_watcher.config import EtcdConfig, parse_endpoint_url
from balancer.core.discovery.etcd_watcher.messages import CallFault
from balancer.core.discovery.etcd_watcher.watcher import EtcdWatcher
from balancer.core.staggering import StaggeredSchedule
from balancer.endpoints import InvalidEntry
from balancer.protocol.etcd_entry import parse_entry
from balancer.protocol.etcd_watch import responses as ew
from balancer.protocol.etcd_watch.requests import RequestBuilder
from balancer.protocol.etcd_watch.response_decoder import CallKind, ResponseDecoder

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0  # s for a connection to come up, its name looked up and its TLS agreed on
MAX_TURN_S = 0.002  # s of reading in one go
ROWS_PER_STEP = 100  # entries read in one go
KEEPALIVE_OPTIONS = {"TCP_KEEPIDLE": 15, "TCP_KEEPINTVL": 5, "TCP_KEEPCNT": 3}  # s, s, probes

Emit = Callable[[EndpointsListed | SourceConfirmedCurrent | SourceLost | SourceRejected], None]


class EtcdConnection(asyncio.Protocol):
    """One connection, which carries one call at a time.

    `take` gets each message, and None when nothing more of the call will come.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.answer: ResponseDecoder | None = None
        self.take: Callable[[ew.Message | None], None] = lambda message: None
        self.heard = False  # something of the answer has come
        self.closed = False
        self._turn: asyncio.Handle | None = None

    @property
    def idle(self) -> bool:
        """Whether another call can be made on it, as far as this side knows."""
        return self.answer is None and self.transport is not None and not self.transport.is_closing()

    def ask(self, kind: CallKind, data: bytes, take: Callable[[ew.Message | None], None]) -> None:
        """Make a call."""
        assert self.idle and self.transport is not None
        self.answer, self.take, self.heard = ResponseDecoder(kind), take, False
        self.transport.write(data)

    async def call(self, kind: CallKind, data: bytes) -> ew.Message:
        """Make a call that has one answer. What cannot be read is `Broken`; never raises.

        Who cancels this closes the connection, as the answer may still come.
        """
        got: asyncio.Future[ew.Message] = asyncio.get_running_loop().create_future()

        def take(message: ew.Message | None) -> None:
            if not got.done():
                got.set_result(message or ew.InvalidResponse(ew.ResponseFault.TRUNCATED, "no answer"))

        self.ask(kind, data, take)
        return await got

    def close(self) -> None:
        """Close it; nothing more is taken."""
        self.closed = True
        self.answer = None
        if self._turn is not None:
            self._turn.cancel()
        if self.transport is not None:
            self.transport.abort()

    # --- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up. Keep-alive tells a connection that was forgotten on the way from a silent watch."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for name, value in KEEPALIVE_OPTIONS.items():
                if (option := getattr(socket, name, None)) is not None:
                    sock.setsockopt(socket.IPPROTO_TCP, option, value)
        if self.closed:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Read; what no call asked for ends the connection."""
        if self.answer is None:
            self.close()
            return
        self.heard = True
        self.answer.feed(data)
        if self._turn is None:
            self._pump()

    def connection_lost(self, exc: Exception | None) -> None:
        """Read what there is, then the call has ended."""
        if self.answer is not None:
            self.answer.feed_end()
            if self._turn is None:
                self._pump()

    def _pump(self) -> None:
        """Hand on messages for a while; the rest waits for the loop's next turn, and so does the peer."""
        loop, answer = asyncio.get_running_loop(), self.answer
        self._turn = None
        end = loop.time() + MAX_TURN_S
        while answer is not None and answer is self.answer:
            message = answer.pull()
            if message is None:
                break
            self.take(message)
            if loop.time() > end and answer is self.answer and answer.has_pending:
                self._turn = loop.call_soon(self._pump)
                self._reading(False)
                return
        self._reading(True)
        if answer is not None and answer is self.answer and answer.has_ended:
            self.answer = None
            if not answer.is_reusable:
                self.close()
            self.take(None)

    def _reading(self, on: bool) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if on and not self.transport.is_reading():
            self.transport.resume_reading()
        elif not on and self.transport.is_reading():
            self.transport.pause_reading()


class EtcdDiscovery:
    """Follows the members below a prefix; `emit` gets what the membership has to know.

    `start` and `stop` may follow each other; new settings are a new source, given `seen` of the old one.
    `me` is this node's number among `nodes`, for its turn where the settings say what etcd bears.
    Raises ValueError if an endpoint is none, or a TLS file cannot be read.
    """

    def __init__(
        self,
        config: EtcdConfig,
        emit: Emit,
        *,
        name: str = "etcd",
        seen: tuple[str, int] | None = None,
        rng: random.Random | None = None,
        me: int = 0,
        nodes: int = 1,
    ) -> None:
        self.config, self.emit, self.name = config, emit, name
        self.prefix = config.prefix.encode()
        self.peers = [parse_endpoint_url(url) for url in config.endpoints]
        self.tls = _tls(config) if any(tls for _, _, tls in self.peers) else None
        self.asks = [RequestBuilder(_host(host, port), self.prefix) for host, port, _ in self.peers]
        self.rng = rng or random.Random()
        self.started_with = seen
        self.me, self.nodes = me, nodes
        self.follow = self._begin()
        self.running = False
        self._token: str | None = None  # "" where etcd has its auth off
        self._link: EtcdConnection | None = None
        self._watch: EtcdConnection | None = None
        self._asking: asyncio.Task[None] | None = None
        self._watching: asyncio.Task[None] | None = None
        self._timers: dict[int, asyncio.TimerHandle] = {}

    def _begin(self) -> EtcdWatcher:
        count, epoch = len(self.peers), self.config.epoch
        names, bears = self.config.endpoints, self.config.bears
        turns = None if bears is None or self.nodes == 1 else StaggeredSchedule(self.me, self.nodes, bears)
        return EtcdWatcher(
            self.name,
            count,
            self.rng,
            epoch=epoch,
            resume_from=self.started_with,
            endpoint_names=names,
            time_slots=turns,
        )

    @property
    def seen(self) -> tuple[str, int] | None:
        """The order in force and the newest revision delivered in it, for the source that comes after."""
        return None if self.follow.cluster_id is None else (self.follow.identity, self.follow.min_revision)

    def start(self) -> None:
        """Begin; needs a running loop. What was seen before a `stop` still holds."""
        if self.running:
            return
        self.started_with = self.seen or self.started_with
        self.follow, self.running = self._begin(), True
        self._do(ef.WatcherStarted())

    def stop(self) -> None:
        """End: connections are closed on return."""
        if not self.running:
            return
        self._do(ef.WatcherStopped())
        self.running = False
        self._drop()
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

    # --- the decider's actions

    def _do(self, event: ef.Event) -> None:
        if not self.running:
            return
        for action in self.follow.handle(asyncio.get_running_loop().time() * 1000, event):
            if not self.running:
                return  # whoever took an event stopped this
            self._act(action)

    def _act(self, action: ef.Action) -> None:
        loop = asyncio.get_running_loop()
        match action:
            case ef.CheckEndpoint():
                self._ask(partial(self._check, action))
            case ef.FetchSnapshotPage():
                self._ask(partial(self._range, action))
            case ef.OpenWatch():
                self._close_watch()
                self._watching = loop.create_task(self._open(action))
            case ef.CloseWatch():
                self._close_watch()
            case ef.CloseConnections():
                self._drop()
            case ef.SetTimer():
                self._timers[action.token] = loop.call_at(action.at_ms / 1000, self._fire, action.token)
            case ef.DeliverUpdate():
                self.emit(action.update)
            case ef.WriteLog():
                log.log(logging.INFO if action.level == "info" else logging.WARNING, "%s", action.text)

    def _fire(self, token: int) -> None:
        del self._timers[token]
        self._do(ef.TimerFired(token))

    def _close_watch(self) -> None:
        if self._watching is not None:
            self._watching.cancel()
        if self._watch is not None:
            self._watch.close()
        self._watching = self._watch = None

    def _drop(self) -> None:
        self._close_watch()
        if self._asking is not None:
            self._asking.cancel()
        if self._link is not None:
            self._link.close()
        self._asking = self._link = None

    # --- calls

    def _ask(self, call: Callable[[], Coroutine[None, None, ef.Event]]) -> None:
        """One at a time: the decider has forgotten the one before, if it is out still."""
        if self._asking is not None and not self._asking.done():
            self._asking.cancel()
            if self._link is not None:
                self._link.close()
        self._asking = asyncio.get_running_loop().create_task(self._answered(call))

    async def _answered(self, call: Callable[[], Coroutine[None, None, ef.Event]]) -> None:
        event = await call()
        self._asking = None  # the next call is not to cancel this task, which makes it
        self._do(event)

    async def _check(self, action: ef.CheckEndpoint) -> ef.Event:
        make = partial(self.asks[action.endpoint_index].check_request, count=action.counts_keys)
        message = await self._request(action.endpoint_index, make)
        if isinstance(message, ew.RangePage):
            keys = message.key_count if action.counts_keys else None
            return ef.CheckAnswered(action.call_id, _position(message.header), keys)
        return self._failed(action.call_id, message)

    async def _range(self, action: ef.FetchSnapshotPage) -> ef.Event:
        def make(token: str) -> bytes:
            asks = self.asks[action.endpoint_index]
            return asks.range_request(action.after_key, action.revision, action.max_keys, token)

        message = await self._request(action.endpoint_index, make)
        if not isinstance(message, ew.RangePage):
            return self._failed(action.call_id, message)
        rows: list[ef.EntryUpdate] = []
        for start in range(0, len(message.key_values), ROWS_PER_STEP):
            rows += [
                parse_entry(kv, self.prefix, self.config.format)
                for kv in message.key_values[start : start + ROWS_PER_STEP]
            ]
            await asyncio.sleep(0)
        rows += [InvalidEntry(f"/entry {n}", reason) for n, reason in enumerate(message.unreadable_entries)]
        last = message.key_values[-1].key if message.key_values else b""
        at = _position(message.header)
        return ef.SnapshotPageReceived(
            action.call_id, at, tuple(rows), last, message.has_more, message.key_count
        )

    async def _open(self, action: ef.OpenWatch) -> None:
        def take(message: ew.Message | None) -> None:
            if self._watch is link:
                self._do(self._stream_message(action.call_id, message))

        refused = await self._log_in(action.endpoint_index)
        try:
            if refused is None:
                link = await self._dial(action.endpoint_index)
        except (OSError, TimeoutError, UnicodeError) as err:  # the last of a name that cannot be looked up
            refused = ew.InvalidResponse(ew.ResponseFault.TRUNCATED, _why(err))
        self._watching = None
        if refused is not None:
            self._do(self._failed(action.call_id, refused))
            return
        self._watch = link
        start = self.asks[action.endpoint_index].watch_request(action.start_revision, self._token or "")
        link.ask(CallKind.WATCH, start, take)

    def _stream_message(self, call: int, message: ew.Message | None) -> ef.Event:
        """A message of the watch, as an event."""
        match message:
            case ew.WatchCreated(header):
                return ef.WatchCreated(call, _position(header))
            case ew.WatchProgress(header):
                return ef.WatchProgressed(call, _position(header))
            case ew.WatchEvents(header, events, fragment):
                changes = (
                    ef.WatchEvent(
                        kv.mod_revision, parse_entry(kv, self.prefix, self.config.format), not kv.is_deleted
                    )
                    for kv in events
                )
                return ef.WatchEventsReceived(call, _position(header), tuple(changes), fragment)
            case ew.WatchCanceled(_, compacted, reason):
                # The reason holds what the call would have been answered; its code is told in words only.
                return ef.WatchCanceled(
                    call, compacted, self._stream_fault(ew.GatewayError(0, reason)), reason
                )
            case None:
                return ef.CallFailed(call, CallFault.FAILED, "the connection ended")
            case _:
                return self._failed(call, message)

    def _failed(self, call: int, message: ew.Message) -> ef.CallFailed:
        match message:
            case ew.GatewayError(message=text, http_status=status):
                advice_ms = 1000.0 * message.retry_after_s
                return ef.CallFailed(
                    call, self._stream_fault(message), text or f"HTTP status {status}", advice_ms
                )
            case ew.InvalidResponse(why, _):
                trouble = {
                    ew.ResponseFault.TOO_LARGE: CallFault.TOO_LARGE,
                    ew.ResponseFault.TRUNCATED: CallFault.FAILED,
                }
                text = message.detail if why is ew.ResponseFault.TRUNCATED else str(message)
                return ef.CallFailed(call, trouble.get(why, CallFault.UNREADABLE), text)
            case _:
                return ef.CallFailed(
                    call, CallFault.UNREADABLE, f"{type(message).__name__} answers another call"
                )

    def _stream_fault(self, error: ew.GatewayError) -> CallFault:
        if error.is_compacted:
            return CallFault.COMPACTED
        if self.config.user and (
            error.is_token_expired or (self._token == "" and error.is_permission_denied)
        ):
            self._token = None  # the next call logs in first
            return CallFault.TOKEN_EXPIRED
        if error.is_token_expired or error.is_permission_denied:
            return CallFault.PERMISSION_DENIED
        return CallFault.OVERLOADED if error.is_overloaded else CallFault.FAILED

    async def _request(self, endpoint: int, make: Callable[[str], bytes]) -> ew.Message:
        """A call of a range, behind a log-in where one is needed. Never raises."""
        if (refused := await self._log_in(endpoint)) is not None:
            return refused
        return await self._once(endpoint, CallKind.RANGE, make(self._token or ""))

    async def _log_in(self, endpoint: int) -> ew.Message | None:
        """Get a token, if there is none; what came instead of it."""
        if not self.config.user or self._token is not None:
            return None
        data = self.asks[endpoint].authenticate_request(self.config.user, self.config.password or "")
        message = await self._once(endpoint, CallKind.AUTHENTICATE, data)
        if isinstance(message, ew.Authenticated):
            self._token = message.token
        elif isinstance(message, ew.GatewayError) and message.is_auth_disabled:
            self._token = ""
        else:
            return message
        return None

    async def _once(self, endpoint: int, kind: CallKind, data: bytes) -> ew.Message:
        """One call on the connection that is there, or a new one.

        A connection that was kept may have been closed by its other end meanwhile: then the call, which
        changes nothing, is made once more.
        """
        try:
            if (link := self._link) is not None and link.idle:
                message = await link.call(kind, data)
                if not isinstance(message, ew.InvalidResponse) or link.heard:
                    return message
            if self._link is not None:
                self._link.close()  # a call that nobody waits for any more may be out on it
            self._link = link = await self._dial(endpoint)
            return await link.call(kind, data)
        except (OSError, TimeoutError, UnicodeError) as err:  # the last of a name that cannot be looked up
            return ew.InvalidResponse(ew.ResponseFault.TRUNCATED, _why(err))

    async def _dial(self, endpoint: int) -> EtcdConnection:
        host, port, tls = self.peers[endpoint]
        loop, link = asyncio.get_running_loop(), EtcdConnection()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: link, host, port, ssl=self.tls if tls else None)
        except BaseException:
            link.close()
            raise
        return link


def _tls(config: EtcdConfig) -> ssl.SSLContext:
    """What is trusted, and what is shown; raises ValueError that names the file."""
    try:
        out = ssl.create_default_context(cafile=config.ca)
    except (OSError, ssl.SSLError) as err:
        raise ValueError(f"ca {config.ca!r} cannot be used: {err}") from None
    if config.cert is not None:
        try:
            out.load_cert_chain(config.cert, config.key)
        except (OSError, ssl.SSLError) as err:
            raise ValueError(f"cert {config.cert!r} with key {config.key!r} cannot be used: {err}") from None
    return out


def _host(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _position(header: ew.ResponseHeader) -> ef.Position:
    return ef.Position(header.cluster_id, header.revision, header.raft_term)


def _why(err: Exception) -> str:
    text = str(err) or "timed out"
    return f"no connection: {text}"[:200]
