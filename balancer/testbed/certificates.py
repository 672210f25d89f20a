"""Certificates for TLS on loopback: a certificate authority, a server and a client certificate.

They are made by `trustme`, a development dependency: no module of the service may import this one.
"""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from pathlib import Path

import trustme

SERVER_NAMES = ("127.0.0.1", "::1", "localhost")
CLIENT_ALTERNATIVE_NAME = "client@balancer.invalid"  # trustme requires an alternative name


@dataclass(slots=True, frozen=True)
class Certificates:
    """PEM files of the authority, and of the certificates of server and client with their keys."""

    ca: Path
    cert: Path
    key: Path
    client_cert: Path
    client_key: Path

    def server(self, client_auth: bool = False) -> ssl.SSLContext:
        """Return a server context; `client_auth` requires a client certificate from the authority."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(self.cert, self.key)
        if client_auth:
            context.load_verify_locations(self.ca)
            context.verify_mode = ssl.CERT_REQUIRED
        return context

    def client(self, shown: bool = True) -> ssl.SSLContext:
        """Return a client context that trusts only the authority; `shown` presents the client certificate."""
        context = ssl.create_default_context(cafile=self.ca)
        if shown:
            context.load_cert_chain(self.client_cert, self.client_key)
        return context


def make(directory: Path, client_name: str = "") -> Certificates:
    """Write an authority and both certificates to an existing directory.

    `client_name` is the common name of the client. etcd's gateway rejects a certificate with a common name
    while etcd requires both client certificates and user names.
    """
    authority = trustme.CA()
    server = authority.issue_cert(*SERVER_NAMES, common_name="localhost")
    client = authority.issue_cert(CLIENT_ALTERNATIVE_NAME, common_name=client_name or None)
    paths = [directory / f"{part}.pem" for part in ("ca", "cert", "key", "client", "client-key")]
    authority.cert_pem.write_to_path(paths[0])
    for issued, cert, key in ((server, paths[1], paths[2]), (client, paths[3], paths[4])):
        issued.cert_chain_pems[0].write_to_path(cert)
        issued.private_key_pem.write_to_path(key)
    return Certificates(*paths)
