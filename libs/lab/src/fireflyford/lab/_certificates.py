"""Self-signed certificates for tests and experiments."""

import datetime
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid


def make_certificate(
    directory: pathlib.Path, name: str, valid_days: int = 30
) -> tuple[pathlib.Path, pathlib.Path]:
    """Writes a self-signed certificate and its key.

    Args:
        directory: Directory of the two files.
        name: Name of the service.
        valid_days: Days until expiry; negative for an expired certificate.

    Returns:
        Paths of the certificate and of the key.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    start = now + datetime.timedelta(days=min(0, valid_days) - 1)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(start)
        .not_valid_after(now + datetime.timedelta(days=valid_days))
        .add_extension(
            x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False
        )
        .sign(key, hashes.SHA256())
    )
    certificate_path = directory / f"{name}.pem"
    key_path = directory / f"{name}.key"
    certificate_path.write_bytes(
        certificate.public_bytes(serialization.Encoding.PEM)
    )
    key_path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return certificate_path, key_path
