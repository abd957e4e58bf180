"""Loading and validation of the certificate before the agent starts."""

import datetime
import pathlib

from aioquic.quic import configuration as quic_configuration
from cryptography import x509
from cryptography.hazmat.primitives import serialization

from fireflyford import core
from fireflyford import settings
from fireflyford import wire

_IDLE_TIMEOUT_S = 30.0


def load_tls(
    options: settings.AgentSettings,
) -> core.Outcome[quic_configuration.QuicConfiguration]:
    """Loads the certificate and the private key named in the settings.

    Returns:
        The QUIC configuration, or a `BAD_CERTIFICATE` failure that names the
        file and the error.
    """
    error_text = _find_certificate_error(options)
    if error_text:
        return core.Failure(core.ErrorKind.BAD_CERTIFICATE, error_text)
    configuration = quic_configuration.QuicConfiguration(
        alpn_protocols=["h3"],
        is_client=False,
        connection_id_length=wire.CONNECTION_ID_BYTES,
        idle_timeout=_IDLE_TIMEOUT_S,
    )
    configuration.load_cert_chain(
        options.certificate_path, options.private_key_path
    )
    return core.Ok(configuration)


def _find_certificate_error(options: settings.AgentSettings) -> str:
    certificate_path = options.certificate_path
    try:
        data = pathlib.Path(certificate_path).read_bytes()
        certificate = x509.load_pem_x509_certificates(data)[0]
    except (OSError, ValueError) as error:
        return f"{certificate_path}: {error}"
    key_path = options.private_key_path
    try:
        key_data = pathlib.Path(key_path).read_bytes()
        key = serialization.load_pem_private_key(key_data, password=None)
    except (OSError, ValueError, TypeError):
        # The message of the parser is not used, because it may quote the file.
        return f"{key_path}: expected an unencrypted private key in PEM"
    if key.public_key() != certificate.public_key():
        return f"{key_path}: private key does not belong to {certificate_path}"
    now = datetime.datetime.now(datetime.UTC)
    if certificate.not_valid_after_utc <= now:
        end = certificate.not_valid_after_utc.isoformat()
        return (
            f"{certificate_path}: expired at {end}; install a new certificate"
        )
    if certificate.not_valid_before_utc > now:
        start = certificate.not_valid_before_utc.isoformat()
        return f"{certificate_path}: not valid before {start}"
    if options.service not in _dns_names(certificate):
        return f"{certificate_path}: not issued for {options.service}"
    return ""


def _dns_names(certificate: x509.Certificate) -> list[str]:
    try:
        extension = certificate.extensions.get_extension_for_class(
            x509.SubjectAlternativeName
        )
    except x509.ExtensionNotFound:
        return []
    return extension.value.get_values_for_type(x509.DNSName)
