"""UDP transport of the cluster component: authenticated datagrams in and out.

What the socket refuses to send is lost and counted: the failure detector and the gossip bear loss.
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

MAX_DATAGRAMS_PER_CALLBACK = 32  # read in one turn of the loop: some 1 ms if all are authentic
COUNTERS = ("received", "sent", "unsent")


class GossipTransport:
    """One socket at a time; keys, counters and replay windows outlast it.

    `counts`: datagrams by `COUNTERS`, since the start. `on_datagram` takes the address that an authentic
    datagram came from, and the datagram.
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
        """Datagrams that were not read, by reason."""
        return self._reader.rejected_counts

    def writer_for(self, node_name: str, keys: Sequence[gossip.Key]) -> gossip.Writer:
        """The writer to hand to `use`; raises ValueError if the name is too long for a datagram."""
        return self._writer or gossip.Writer(node_name, keys)

    def use(self, writer: gossip.Writer, keys: Sequence[gossip.Key]) -> None:
        """Sign with the first of the keys and accept all of them, from the next datagram on."""
        self._writer = writer
        writer.keys = self._reader.keys = keys

    def receive(self, now_ms: float) -> None:
        """Read some of the datagrams that wait; the loop calls again for the rest, after other work."""
        for _ in range(MAX_DATAGRAMS_PER_CALLBACK):
            if self.socket is None:
                return
            try:
                data, sender_address = self.socket.recvfrom(gossip.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:  # the answer to a datagram that was sent before
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
        """Send one datagram, if the socket takes it; returns False if there is no socket."""
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
        except ValueError:  # an address or a text that a peer with the right key made up
            self.counts["unsent"] += 1
        return True

    def _on_socket_error(self, error: OSError) -> None:
        """Unreachable, refused or no buffer space: counted, and logged once for each error number."""
        self.counts["unsent"] += 1
        if error.errno not in self._logged_errnos:
            reason = error.strerror or type(error).__name__
            log.warning("peers: %s; datagrams are lost, the node goes on", reason)
        self._logged_errnos.add(error.errno)


def open_socket(listen: Address) -> socket.socket:
    """A bound UDP socket that does not block; raises OSError."""
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
    """An address to send to; None if it is not an IP address and port of that family.

    Guards against a host name, which the system would look up while the event loop waits.
    """
    host, _, port_text = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(host[1:-1] if host[:1] == "[" else host)
        port = int(port_text)
    except ValueError:
        return None
    is_usable = (ip.version == 6) is (family == socket.AF_INET6) and 0 < port < 65_536
    return (str(ip), port) if is_usable else None
