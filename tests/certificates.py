"""Create a certificate authority and certificates for tests."""

from __future__ import annotations

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from ibiswick._internal.settings import TlsSettings

# Tests must not depend on the date, so the certificates are valid for a long time.
START = datetime.datetime(2020, 1, 1)
END = datetime.datetime(2120, 1, 1)


def write_identity(directory, name="admin") -> TlsSettings:
    """Write a new authority and a certificate for 127.0.0.1 that it signed."""
    authority_key = ec.generate_private_key(ec.SECP256R1())
    authority = _sign("authority", authority_key, "authority", authority_key, authority=True)
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = _sign(name, key, "authority", authority_key, authority=False)
    paths = [directory / f"{name}-{part}.pem" for part in ("certificate", "key", "authority")]
    encoded_key = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    encode = serialization.Encoding.PEM
    contents = [certificate.public_bytes(encode), encoded_key, authority.public_bytes(encode)]
    for path, content in zip(paths, contents, strict=True):
        path.write_bytes(content)
    return TlsSettings(*map(str, paths))


def _sign(name, key, issuer, issuer_key, *, authority):
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    builder = (
        x509.CertificateBuilder()
        .subject_name(_build_name(name))
        .issuer_name(_build_name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(START)
        .not_valid_after(END)
        .add_extension(x509.BasicConstraints(ca=authority, path_length=None), critical=True)
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
    )
    return builder.sign(issuer_key, hashes.SHA256())


def _build_name(name):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
