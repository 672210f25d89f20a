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

from balancer.core.discovery import etcd_watcher as ef
from balancer.core.discovery.endpoint_merger import (
    Heard,
    Listed,
    Refused,
    Silenced,
)
from balancer.core.discovery.etcd_watcher import EtcdConfig, Trouble
from balancer.core.staggering import Turns
from balancer.endpoints import InvalidEntry
from balancer.protocol import etcd_watch as ew
from balancer.protocol.etcd_entry import entry
from balancer.protocol.etcd_watch import Answer, Asks, Kind

log = logging.getLogger(__name__)

CONNECT = 1.0  # s for a connection to come up, its name looked up and its TLS agreed on
SLICE = 0.002  # s of reading in one go
ROWS = 100  # entries read in one go
KEEPALIVE = {"TCP_KEEPIDLE": 15, "TCP_KEEPINTVL": 5, "TCP_KEEPCNT": 3}  # s, s, probes

Emit = Callable[[Listed | Heard | Silenced | Refused], None]


class Link(asyncio.Protocol):
    """One connection, which carries one call at a time.

    `take` gets each message, and None when nothing more of the call will come.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.answer: Answer | None = None
        self.take: Callable[[ew.Message | None], None] = lambda message: None
        self.heard = False  # something of the answer has come
        self.closed = False
        self._turn: asyncio.Handle | None = None

    @property
    def idle(self) -> bool:
        """Whether another call can be made on it, as far as this side knows."""
        return self.answer is None and self.transport is not None and not self.transport.is_closing()

    def ask(self, kind: Kind, data: bytes, take: Callable[[ew.Message | None], None]) -> None:
        """Make a call."""
        assert self.idle and self.transport is not None
        self.answer, self.take, self.heard = Answer(kind), take, False
        self.transport.write(data)

    async def call(self, kind: Kind, data: bytes) -> ew.Message:
        """Make a call that has one answer. What cannot be read is `Broken`; never raises.

        Who cancels this closes the connection, as the answer may still come.
        """
        got: asyncio.Future[ew.Message] = asyncio.get_running_loop().create_future()

        def take(message: ew.Message | None) -> None:
            if not got.done():
                got.set_result(message or ew.Broken(ew.Why.CUT_SHORT, "no answer"))

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
            for name, value in KEEPALIVE.items():
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
        end = loop.time() + SLICE
        while answer is not None and answer is self.answer:
            message = answer.pull()
            if message is None:
                break
            self.take(message)
            if loop.time() > end and answer is self.answer and answer.pending:
                self._turn = loop.call_soon(self._pump)
                self._reading(False)
                return
        self._reading(True)
        if answer is not None and answer is self.answer and answer.ended:
            self.answer = None
            if not answer.reusable:
                self.close()
            self.take(None)

    def _reading(self, on: bool) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if on and not self.transport.is_reading():
            self.transport.resume_reading()
        elif not on and self.transport.is_reading():
            self.transport.pause_reading()


class EtcdSource:
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
        self.peers = [ef.endpoint(url) for url in config.endpoints]
        self.tls = _tls(config) if any(tls for _, _, tls in self.peers) else None
        self.asks = [Asks(_host(host, port), self.prefix) for host, port, _ in self.peers]
        self.rng = rng or random.Random()
        self.started_with = seen
        self.me, self.nodes = me, nodes
        self.follow = self._begin()
        self.running = False
        self._token: str | None = None  # "" where etcd has its auth off
        self._link: Link | None = None
        self._watch: Link | None = None
        self._asking: asyncio.Task[None] | None = None
        self._watching: asyncio.Task[None] | None = None
        self._timers: dict[int, asyncio.TimerHandle] = {}

    def _begin(self) -> ef.EtcdFollow:
        count, epoch = len(self.peers), self.config.epoch
        names, bears = self.config.endpoints, self.config.bears
        turns = None if bears is None or self.nodes == 1 else Turns(self.me, self.nodes, bears)
        return ef.EtcdFollow(
            self.name, count, self.rng, epoch=epoch, seen=self.started_with, names=names, turns=turns
        )

    @property
    def seen(self) -> tuple[str, int] | None:
        """The order in force and the newest revision delivered in it, for the source that comes after."""
        return None if self.follow.cluster is None else (self.follow.identity, self.follow.floor)

    def start(self) -> None:
        """Begin; needs a running loop. What was seen before a `stop` still holds."""
        if self.running:
            return
        self.started_with = self.seen or self.started_with
        self.follow, self.running = self._begin(), True
        self._do(ef.Started())

    def stop(self) -> None:
        """End: connections are closed on return."""
        if not self.running:
            return
        self._do(ef.Stopped())
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
            case ef.Check():
                self._ask(partial(self._check, action))
            case ef.Range():
                self._ask(partial(self._range, action))
            case ef.Watch():
                self._close_watch()
                self._watching = loop.create_task(self._open(action))
            case ef.CloseWatch():
                self._close_watch()
            case ef.Drop():
                self._drop()
            case ef.SetTimer():
                self._timers[action.token] = loop.call_at(action.at_ms / 1000, self._fire, action.token)
            case ef.Deliver():
                self.emit(action.event)
            case ef.Say():
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

    async def _check(self, action: ef.Check) -> ef.Event:
        make = partial(self.asks[action.endpoint].check, count=action.count)
        message = await self._request(action.endpoint, make)
        if isinstance(message, ew.RangePage):
            keys = message.count if action.count else None
            return ef.CheckAnswered(action.call, _position(message.header), keys)
        return self._failed(action.call, message)

    async def _range(self, action: ef.Range) -> ef.Event:
        def make(token: str) -> bytes:
            asks = self.asks[action.endpoint]
            return asks.range(action.after_key, action.revision, action.limit, token)

        message = await self._request(action.endpoint, make)
        if not isinstance(message, ew.RangePage):
            return self._failed(action.call, message)
        rows: list[ef.Row] = []
        for start in range(0, len(message.kvs), ROWS):
            rows += [entry(kv, self.prefix, self.config.format) for kv in message.kvs[start : start + ROWS]]
            await asyncio.sleep(0)
        rows += [InvalidEntry(f"/entry {n}", reason) for n, reason in enumerate(message.unreadable)]
        last = message.kvs[-1].key if message.kvs else b""
        at = _position(message.header)
        return ef.PageAnswered(action.call, at, tuple(rows), last, message.more, message.count)

    async def _open(self, action: ef.Watch) -> None:
        def take(message: ew.Message | None) -> None:
            if self._watch is link:
                self._do(self._said(action.call, message))

        refused = await self._log_in(action.endpoint)
        try:
            if refused is None:
                link = await self._dial(action.endpoint)
        except (OSError, TimeoutError, UnicodeError) as err:  # the last of a name that cannot be looked up
            refused = ew.Broken(ew.Why.CUT_SHORT, _why(err))
        self._watching = None
        if refused is not None:
            self._do(self._failed(action.call, refused))
            return
        self._watch = link
        start = self.asks[action.endpoint].watch(action.start_revision, self._token or "")
        link.ask(Kind.WATCH, start, take)

    def _said(self, call: int, message: ew.Message | None) -> ef.Event:
        """A message of the watch, as an event."""
        match message:
            case ew.WatchCreated(header):
                return ef.WatchCreated(call, _position(header))
            case ew.WatchProgress(header):
                return ef.WatchProgressed(call, _position(header))
            case ew.WatchEvents(header, events, fragment):
                changes = (
                    ef.Change(kv.mod_revision, entry(kv, self.prefix, self.config.format), not kv.deleted)
                    for kv in events
                )
                return ef.WatchSaid(call, _position(header), tuple(changes), fragment)
            case ew.WatchCanceled(_, compacted, reason):
                # The reason holds what the call would have been answered; its code is told in words only.
                return ef.WatchCanceled(call, compacted, self._trouble(ew.GatewayError(0, reason)), reason)
            case None:
                return ef.CallFailed(call, Trouble.FAILED, "the connection ended")
            case _:
                return self._failed(call, message)

    def _failed(self, call: int, message: ew.Message) -> ef.CallFailed:
        match message:
            case ew.GatewayError(text=text, status=status):
                advice_ms = 1000.0 * message.after_s
                return ef.CallFailed(call, self._trouble(message), text or f"HTTP status {status}", advice_ms)
            case ew.Broken(why, _):
                trouble = {ew.Why.TOO_LONG: Trouble.TOO_LONG, ew.Why.CUT_SHORT: Trouble.FAILED}
                text = message.text if why is ew.Why.CUT_SHORT else str(message)
                return ef.CallFailed(call, trouble.get(why, Trouble.SPOILED), text)
            case _:
                return ef.CallFailed(call, Trouble.SPOILED, f"{type(message).__name__} answers another call")

    def _trouble(self, error: ew.GatewayError) -> Trouble:
        if error.compacted:
            return Trouble.COMPACTED
        if self.config.user and (error.stale_token or (self._token == "" and error.denied)):
            self._token = None  # the next call logs in first
            return Trouble.STALE_TOKEN
        if error.stale_token or error.denied:
            return Trouble.DENIED
        return Trouble.BUSY if error.busy else Trouble.FAILED

    async def _request(self, endpoint: int, make: Callable[[str], bytes]) -> ew.Message:
        """A call of a range, behind a log-in where one is needed. Never raises."""
        if (refused := await self._log_in(endpoint)) is not None:
            return refused
        return await self._once(endpoint, Kind.RANGE, make(self._token or ""))

    async def _log_in(self, endpoint: int) -> ew.Message | None:
        """Get a token, if there is none; what came instead of it."""
        if not self.config.user or self._token is not None:
            return None
        data = self.asks[endpoint].login(self.config.user, self.config.password or "")
        message = await self._once(endpoint, Kind.LOGIN, data)
        if isinstance(message, ew.Authenticated):
            self._token = message.token
        elif isinstance(message, ew.GatewayError) and message.auth_off:
            self._token = ""
        else:
            return message
        return None

    async def _once(self, endpoint: int, kind: Kind, data: bytes) -> ew.Message:
        """One call on the connection that is there, or a new one.

        A connection that was kept may have been closed by its other end meanwhile: then the call, which
        changes nothing, is made once more.
        """
        try:
            if (link := self._link) is not None and link.idle:
                message = await link.call(kind, data)
                if not isinstance(message, ew.Broken) or link.heard:
                    return message
            if self._link is not None:
                self._link.close()  # a call that nobody waits for any more may be out on it
            self._link = link = await self._dial(endpoint)
            return await link.call(kind, data)
        except (OSError, TimeoutError, UnicodeError) as err:  # the last of a name that cannot be looked up
            return ew.Broken(ew.Why.CUT_SHORT, _why(err))

    async def _dial(self, endpoint: int) -> Link:
        host, port, tls = self.peers[endpoint]
        loop, link = asyncio.get_running_loop(), Link()
        try:
            async with asyncio.timeout(CONNECT):
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


def _position(header: ew.Header) -> ef.Position:
    return ef.Position(header.cluster_id, header.revision, header.raft_term)


def _why(err: Exception) -> str:
    text = str(err) or "timed out"
    return f"no connection: {text}"[:200]
