"""Validation of an agent's certificate and key at start."""

import pathlib

from fireflyford import agent
from fireflyford import core
from fireflyford import settings
from fireflyford.lab import _certificates


def load_tls_failure(
    certificate: pathlib.Path, key: pathlib.Path
) -> core.Failure | None:
    options = settings.AgentSettings(
        instance_id="tahian-1",
        region="visayas",
        availability_zone="cebu",
        link_address="127.0.0.1:1",
        control_address="127.0.0.1:2",
        bulk_address="127.0.0.1:3",
        status_address="127.0.0.1:4",
        routing_keys_hex=("00" * 16,),
        link_key_hex="00" * 16,
        service="tahian",
        backend_address="127.0.0.1:5",
        certificate_path=str(certificate),
        private_key_path=str(key),
    )
    outcome = agent.load_tls(options)
    return outcome if isinstance(outcome, core.Failure) else None


def test_valid_certificate_is_loaded(tmp_path: pathlib.Path) -> None:
    """Guards against the refusal of a valid certificate."""
    assert (
        load_tls_failure(*_certificates.make_certificate(tmp_path, "tahian"))
        is None
    )


def test_expired_certificate_is_refused(tmp_path: pathlib.Path) -> None:
    """Guards against a start with a certificate that callers refuse."""
    failure = load_tls_failure(
        *_certificates.make_certificate(tmp_path, "tahian", -1)
    )
    assert failure is not None
    assert "expired at" in failure.message


def test_certificate_of_another_service_is_refused(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against the use of another service's certificate."""
    failure = load_tls_failure(
        *_certificates.make_certificate(tmp_path, "padron")
    )
    assert failure is not None
    assert "not issued for tahian" in failure.message


def test_key_of_another_certificate_is_refused(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a key mismatch that fails every handshake."""
    certificate, _ = _certificates.make_certificate(tmp_path, "tahian")
    _, other_key = _certificates.make_certificate(tmp_path, "padron")
    failure = load_tls_failure(certificate, other_key)
    assert failure is not None
    assert "does not belong" in failure.message


def test_error_for_malformed_key_contains_no_key_material(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against key material in an error message."""
    certificate, key = _certificates.make_certificate(tmp_path, "tahian")
    key.write_text(key.read_text().replace("PRIVATE", "PRIVATE SECRET"))
    failure = load_tls_failure(certificate, key)
    assert failure is not None
    assert "SECRET" not in failure.message
