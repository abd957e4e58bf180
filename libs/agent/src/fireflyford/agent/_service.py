"""Answers of one target: requests through the engine, feeds directly."""

import secrets

from fireflyford import config
from fireflyford import core
from fireflyford import requests
from fireflyford.agent import _connection
from fireflyford.agent import _feeds
from fireflyford.agent import _ticket_codec

DEADLINE_HEADER = "fireflyford-deadline-ms"
TICKET_HEADER = "fireflyford-ticket"
OUTCOME_HEADER = "fireflyford-outcome"
RETRY_AFTER_HEADER = "retry-after-ms"
_WRITE_BYTES = 64 << 10


class ServiceHandler(_connection.Handler):
    """Answers the requests of one service."""

    def __init__(
        self,
        clock: core.Clock,
        service: config.Service,
        engine: requests.RequestEngine,
        feeds: _feeds.FeedServer,
        tickets: _ticket_codec.TicketCodec,
    ) -> None:
        """Prepares the handler.

        Args:
            clock: Source of time.
            service: Treatments of the service.
            engine: Runs requests.
            feeds: Serves feeds.
            tickets: Encodes tickets.
        """
        self._clock = clock
        self.service = service
        self._engine = engine
        self._feeds = feeds
        self._tickets = tickets

    async def handle(
        self,
        request: _connection.Request,
        response: _connection.ResponseStream,
    ) -> None:
        """Answers one request."""
        treatment = self.service.treatment(request.method, request.path)
        if treatment is None:
            failure = core.Failure(
                core.ErrorKind.BAD_REQUEST,
                f"no treatment for {request.method} {request.path}",
            )
            await self._refuse(response, failure)
        elif treatment.kind is config.Kind.FEED:
            refusal = await self._feeds.serve(request, treatment, response)
            if refusal is not None:
                await self._refuse(response, refusal)
        else:
            await self._answer(request, treatment, response)

    async def _answer(
        self,
        request: _connection.Request,
        treatment: config.Treatment,
        response: _connection.ResponseStream,
    ) -> None:
        outcome = await self._submit(request, treatment)
        if isinstance(outcome, core.Failure):
            await self._refuse(response, outcome)
            return
        answer = outcome.value
        headers = (
            *answer.headers,
            ("content-length", str(len(answer.body))),
            (OUTCOME_HEADER, "complete"),
            self._fresh_ticket(),
        )
        response.start(answer.status_code, headers)
        for start in range(0, len(answer.body), _WRITE_BYTES):
            part = answer.body[start : start + _WRITE_BYTES]
            await response.write(part, end=False)
        await response.write(b"", end=True)

    async def _submit(
        self, request: _connection.Request, treatment: config.Treatment
    ) -> core.Outcome[requests.Response]:
        text = dict(request.headers).get(TICKET_HEADER, "")
        ticket: requests.Ticket | None = None
        if text and not treatment.idempotent:
            decoded = self._tickets.decode(text)
            if isinstance(decoded, core.Failure):
                return decoded
            ticket = decoded.value
        return await self._engine.submit(self._work(request, treatment), ticket)

    def _fresh_ticket(self) -> tuple[str, str]:
        ticket = self._engine.issuer.issue()
        return (TICKET_HEADER, self._tickets.encode(ticket))

    def _work(
        self, request: _connection.Request, treatment: config.Treatment
    ) -> requests.WorkItem:
        now_ms = self._clock.now_ms()
        fields = dict(request.headers)
        limit_ms = treatment.deadline_ms
        asked = fields.get(DEADLINE_HEADER, "")
        if asked.isdecimal():
            limit_ms = min(limit_ms, int(asked))
        return requests.WorkItem(
            request_id=secrets.token_hex(16),
            treatment=treatment,
            method=request.method,
            path=request.path,
            body=request.body,
            caller=str(request.caller),
            arrived_ms=now_ms,
            deadline_ms=now_ms + limit_ms,
        )

    async def _refuse(
        self, response: _connection.ResponseStream, failure: core.Failure
    ) -> None:
        body = (failure.message + "\n").encode()
        answer = failure.spec
        response.start(
            answer.status_code,
            (
                ("content-type", "text/plain"),
                ("content-length", str(len(body))),
                (OUTCOME_HEADER, answer.execution.value),
                ("fireflyford-error", failure.kind.value),
                (RETRY_AFTER_HEADER, str(failure.retry_after_ms)),
                self._fresh_ticket(),
            ),
        )
        await response.write(body, end=True)
