"""Tests of the authorization of callers."""

import asyncio

import pytest

from fireflyford import agent
from fireflyford import config
from fireflyford import core
from fireflyford.agent import _authorization
from fireflyford.agent import _connection

KEY = b"k" * 16
SERVICE = config.Service(
    name="tahian", address="127.0.0.1:1", target_count=1, callers=("field",)
)


class Recorder(_connection.RequestHandler, _connection.ResponseStream):
    """Handler and response stream that record their calls."""

    def __init__(self) -> None:
        self.handled_count = 0
        self.status_code = 0

    async def handle(
        self,
        request: _connection.Request,
        response: _connection.ResponseStream,
    ) -> None:
        self.handled_count += 1

    def start(self, status_code: int, headers: _connection.Headers) -> None:
        self.status_code = status_code

    async def write(self, data: bytes, end: bool) -> None:
        pass

    def abort(self) -> None:
        pass


def authorize(authorization: str, key: bytes = KEY) -> Recorder:
    recorder = Recorder()
    handler = _authorization.AuthorizationHandler(key, SERVICE, recorder)
    request = _connection.Request(
        method="GET",
        path="/",
        headers=(("authorization", authorization),),
        body=b"",
        caller=core.Address("127.0.0.1", 1),
    )
    asyncio.run(handler.handle(request, recorder))
    return recorder


def test_caller_with_valid_token_is_served() -> None:
    """Guards against rejecting an authorized caller."""
    recorder = authorize("Bearer " + agent.make_token(KEY, "field"))
    assert recorder.handled_count == 1


@pytest.mark.parametrize(
    "authorization",
    [
        "",
        "Bearer field.00",
        "Bearer " + agent.make_token(KEY, "stranger"),
        "Bearer " + agent.make_token(b"x" * 16, "field"),
        "Bearer f\u00e9ld.00",
    ],
)
def test_unauthorized_caller_is_rejected(authorization: str) -> None:
    """Guards against running a request of an unauthorized caller."""
    recorder = authorize(authorization)
    assert recorder.handled_count == 0
    assert recorder.status_code == 403


def test_service_without_key_requires_no_token() -> None:
    """Guards against rejecting all callers when no key is set."""
    assert authorize("", key=b"").handled_count == 1
