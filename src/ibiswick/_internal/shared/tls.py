"""Build TLS contexts from settings and read the identity of a peer."""

from __future__ import annotations

import ssl
from typing import Any, NamedTuple

from .settings import TlsSettings

IDENTITY_SCHEME = "ibiswick://"


class Identity(NamedTuple):
    """Identify the node that a certificate was issued to."""

    workspace: str
    vm: str


def build_server_context(settings: TlsSettings, *, require_client: bool = True) -> ssl.SSLContext:
    """Build a context for a listener; by default clients must present a certificate."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(settings.certificate, settings.key)
    context.load_verify_locations(settings.authority)
    context.verify_mode = ssl.CERT_REQUIRED if require_client else ssl.CERT_NONE
    return context


def build_client_context(settings: TlsSettings) -> ssl.SSLContext:
    """Build a context for connections to other nodes.

    Host names are not checked: nodes are addressed by IP address and identified by the URI in
    their certificate.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.load_cert_chain(settings.certificate, settings.key)
    context.load_verify_locations(settings.authority)
    return context


def parse_identity(certificate: dict[str, Any] | None) -> Identity | None:
    """Return the identity in a peer certificate, which has the form of `SSLSocket.getpeercert`.

    >>> parse_identity({"subjectAltName": (("URI", "ibiswick://yorgan/vm-1"),)})
    Identity(workspace='yorgan', vm='vm-1')
    """
    for kind, value in (certificate or {}).get("subjectAltName", ()):
        if kind == "URI" and value.startswith(IDENTITY_SCHEME):
            workspace, separator, vm = value.removeprefix(IDENTITY_SCHEME).partition("/")
            if separator and workspace and vm:
                return Identity(workspace, vm)
    return None
