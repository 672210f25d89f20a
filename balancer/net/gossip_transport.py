"""UDP transport of the cluster component: authenticated datagrams in and out.

Datagrams that the socket refuses to send are dropped and counted. The failure detector and gossip tolerate
such losses.
"""

from __future__ import annotations

import ipaddress
import logging
import socket
from collections import Counter
from collections.abc import Callable, Sequence
from functools import lru_cache

from balancer.core.cluster.failure_detector import parameters
from balancer.endpoints import Address
from balancer.operator_settings.peers import format_address
from balancer.protocol import gossip

log = logging.getLogger(__name__)

MAX_DATAGRAMS_PER_CALLBACK = 32  # read in one turn of the event loop, about 1 ms if all are authentic
COUNTERS = ("received", "sent", "unsent")


class GossipTransport:
    """Sends and receives over one socket at a time; keys, counters and replay windows outlive it.

    `counts` holds the datagrams since the start by the names in `COUNTERS`. `on_datagram` is called with the
    source address of each authentic datagram and with the datagram.
    """

    def __init__(self, on_datagram: Callable[[str, gossip.AcceptedDatagram], None]) -> None:
        self.socket: socket.socket | None = None
        self.counts: Counter[str] = Counter()
        self._on_datagram = on_datagram
        self._writer: gossip.Writer | None = None
        self._reader = gossip.Reader(())
        self._logged_errnos: set[int | None] = set()

    @property
    def rejected_counts(self) -> dict[str, int]:
        """Rejected datagrams by reason."""
        return self._reader.rejected_counts

    def writer_for(self, node_name: str, keys: Sequence[gossip.Key]) -> gossip.Writer:
        """Return the writer to pass to `use`; raises ValueError if the name is too long for a datagram."""
        return self._writer or gossip.Writer(node_name, keys)

    def use(self, writer: gossip.Writer, keys: Sequence[gossip.Key]) -> None:
        """From the next datagram on, sign with the first of the keys and accept any of them."""
        self._writer = writer
        writer.keys = self._reader.keys = keys

    def receive(self, now_ms: float) -> None:
        """Read a bounded number of datagrams; the event loop calls again for the rest, after other work."""
        for _ in range(MAX_DATAGRAMS_PER_CALLBACK):
            if self.socket is None:
                return
            try:
                data, sender_address = self.socket.recvfrom(gossip.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:  # an ICMP error caused by an earlier datagram
                self._on_socket_error(error)
                continue
            self.counts["received"] += 1
            source = format_address(sender_address[:2])
            datagram = self._reader.read(now_ms, source, data)
            if isinstance(datagram, gossip.AcceptedDatagram):
                self._on_datagram(source, datagram)

    def send(
        self,
        address: str,
        incarnation: int,
        message: gossip.MessageFields,
        sections: gossip.Sections = (),
    ) -> bool:
        """Send one datagram if the socket accepts it; returns False if there is no socket."""
        assert self._writer is not None
        if self.socket is None:
            return False
        target = socket_address(address, self.socket.family)
        try:
            if target is None:
                raise ValueError
            self.socket.sendto(self._writer.write(incarnation, message, sections), target)
            self.counts["sent"] += 1
        except OSError as error:
            self._on_socket_error(error)
        except ValueError:  # an invalid address or text from a peer that holds the key
            self.counts["unsent"] += 1
        return True

    def _on_socket_error(self, error: OSError) -> None:
        """Count a send or receive error and log it once for each error number."""
        self.counts["unsent"] += 1
        if error.errno not in self._logged_errnos:
            reason = error.strerror or type(error).__name__
            log.warning("peers: %s; datagrams are lost, the node goes on", reason)
        self._logged_errnos.add(error.errno)


def open_socket(listen: Address) -> socket.socket:
    """Return a bound, non-blocking UDP socket; raises OSError."""
    family = socket.AF_INET6 if ":" in listen[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.bind(listen)
    except OSError:
        sock.close()
        raise
    return sock


@lru_cache(parameters.MAX_PEERS)
def socket_address(text: str, family: int) -> Address | None:
    """Parse an address to send to; None if it is not an IP address and port of that family.

    Host names are rejected, because resolving them would block the event loop.
    """
    host, _, port_text = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(host[1:-1] if host[:1] == "[" else host)
        port = int(port_text)
    except ValueError:
        return None
    is_usable = (ip.version == 6) is (family == socket.AF_INET6) and 0 < port < 65_536
    return (str(ip), port) if is_usable else None
