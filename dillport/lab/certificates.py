"""Certificates for TLS on loopback: an authority of its own, a server's and a client's, made by `openssl`."""

from __future__ import annotations

import os
import shutil
import ssl
import subprocess
import unittest
from dataclasses import dataclass
from pathlib import Path

SERVER = "subjectAltName=IP:127.0.0.1,IP:::1,DNS:localhost\nextendedKeyUsage=serverAuth,clientAuth\n"
CLIENT = "extendedKeyUsage=clientAuth\n"
DAYS = "2"


def require() -> str:
    """The path of `openssl`. Without one the test that asks is skipped; with CI=true it fails."""
    path = shutil.which("openssl")
    if path is not None:
        return path
    if os.environ.get("CI") == "true":
        raise RuntimeError("CI=true needs the `openssl` command, and there is none in PATH")
    raise unittest.SkipTest("needs the `openssl` command, and there is none in PATH")


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
    """Make an authority and both certificates in a directory.

    `client_name` is the client's common name: etcd's gateway turns away who shows one while etcd asks for
    both certificates and names. Raises what `require` does where there is no `openssl`.
    """
    openssl = require()
    parts = ("ca", "ca-key", "cert", "key", "client", "client-key")
    made = {part: directory / f"{part}.pem" for part in parts}

    def run(*words: str | Path) -> None:
        subprocess.run([openssl, *map(str, words)], check=True, capture_output=True)

    curve = ("-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes")
    run("req", "-x509", *curve, "-days", DAYS, "-subj", "/CN=dillport lab", "-keyout", made["ca-key"],
        "-out", made["ca"])  # fmt: skip
    client = "/O=dillport lab" + (f"/CN={client_name}" if client_name else "")
    for part, key, subject, extra in (
        ("cert", "key", "/CN=localhost", SERVER),
        ("client", "client-key", client, CLIENT),
    ):
        asked, extensions = directory / f"{part}.csr", directory / f"{part}.ext"
        extensions.write_text(extra)
        run("req", "-new", *curve, "-subj", subject, "-keyout", made[key], "-out", asked)
        run("x509", "-req", "-in", asked, "-days", DAYS, "-CA", made["ca"], "-CAkey", made["ca-key"],
            "-set_serial", str(len(part)), "-extfile", extensions, "-out", made[part])  # fmt: skip
    return Certificates(made["ca"], made["cert"], made["key"], made["client"], made["client-key"])
