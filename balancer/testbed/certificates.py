"""Certificates for TLS on loopback: an authority of its own, a server's and a client's, made by `trustme`.

`trustme` is a package for development alone: nothing that serves imports this module.
"""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from pathlib import Path

import trustme

NAMES = ("127.0.0.1", "::1", "localhost")  # of the server
NAMELESS = "client@balancer.invalid"  # the client's alternative name: trustme wants one, and no common name


@dataclass(slots=True, frozen=True)
class Certificates:
    """Files in PEM: the authority, what a server shows and what a client shows, with their keys."""

    ca: Path
    cert: Path
    key: Path
    client_cert: Path
    client_key: Path

    def server(self, client_auth: bool = False) -> ssl.SSLContext:
        """For who listens; `client_auth` lets in only who shows a certificate of the authority."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(self.cert, self.key)
        if client_auth:
            context.load_verify_locations(self.ca)
            context.verify_mode = ssl.CERT_REQUIRED
        return context

    def client(self, shown: bool = True) -> ssl.SSLContext:
        """For who connects: trusts the authority alone, and shows its own certificate."""
        context = ssl.create_default_context(cafile=self.ca)
        if shown:
            context.load_cert_chain(self.client_cert, self.client_key)
        return context


def make(directory: Path, client_name: str = "") -> Certificates:
    """Make an authority and both certificates in a directory that exists.

    `client_name` is the client's common name: etcd's gateway turns away who shows one while etcd asks for
    both certificates and names.
    """
    authority = trustme.CA()
    server = authority.issue_cert(*NAMES, common_name="localhost")
    client = authority.issue_cert(NAMELESS, common_name=client_name or None)
    paths = [directory / f"{part}.pem" for part in ("ca", "cert", "key", "client", "client-key")]
    authority.cert_pem.write_to_path(paths[0])
    for issued, cert, key in ((server, paths[1], paths[2]), (client, paths[3], paths[4])):
        issued.cert_chain_pems[0].write_to_path(cert)
        issued.private_key_pem.write_to_path(key)
    return Certificates(*paths)
