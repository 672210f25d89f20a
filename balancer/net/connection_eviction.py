"""Chooses the connection that is closed in favor of a new one, where every slot for a client is taken."""

from __future__ import annotations

from balancer.net.http_server import ClientConnection, HttpServer

# Before a connection may be closed:
SILENT_TIMEOUT_S = 1.0  # since it was accepted, without a byte, if it is to go before used ones
MIN_SILENT_S = 0.03  # the same, if there is no other to close
MIN_INCOMPLETE_S = 0.5  # since it began to send a request
MIN_LINGERING_S = 0.1  # since its last response


def evict(server: HttpServer) -> bool:
    """Close a connection of the server; False if there is none that may be closed.

    First one that has had its last response, then one that stayed silent for long, the one that has been
    idle longest, and the one that has been sending its request for longest. Unless many are idle, the latter
    two change places, as clients that are stuck would shut out those that keep connections. Last comes one
    that is silent for a moment. A close of any other might cross its first request.
    """
    return (
        _evict_lingering(server)
        or _evict_silent(server, SILENT_TIMEOUT_S)
        or (not server.is_under_idle_pressure and _evict_incomplete(server))
        or _evict_idle(server)
        or _evict_incomplete(server)
        or _evict_silent(server, MIN_SILENT_S)
    )


def _evict_lingering(server: HttpServer) -> bool:
    connection, since_s = next(iter(server.lingering.items()), (None, 0.0))
    if connection is None or server.loop.time() - since_s < MIN_LINGERING_S:
        return False
    connection.abort()
    return True


def _evict_silent(server: HttpServer, min_silent_s: float) -> bool:
    now_s = server.loop.time()
    for connection, since_s in server.unused.items():
        if now_s - since_s < min_silent_s:
            break
        if not connection.has_input():
            connection.close()
            return True
    return False


def _evict_idle(server: HttpServer) -> bool:
    connection: ClientConnection | None = next(iter(server.idle), None)
    if connection is None:
        return False
    connection.close()
    return True


def _evict_incomplete(server: HttpServer) -> bool:
    now_s = server.loop.time()
    for connection, since_s in server.incomplete.items():
        if now_s - since_s < MIN_INCOMPLETE_S:
            break
        if connection.is_receiving_request:
            connection.evict()
            server.memory.evicted_count += 1
            return True
    return False
