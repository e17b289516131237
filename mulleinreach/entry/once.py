"""Running a request under a claim, so that it runs at most once."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from mulleinreach.common import Code, ExecutionStatus, MulleinreachError
from mulleinreach.requests.claims import (
    AlreadyClaimed,
    Claim,
    ClaimRefused,
    ClaimState,
    ClaimStore,
    StoredResponse,
    claim_key,
)

REFUSED_RETRY_AFTER_S = 5.0


@dataclass(frozen=True)
class OnceRequest:
    """What names a request that may run at most once, and tells it from others."""

    organisation: str
    service: str
    key: str
    request_id: str
    content: bytes

    @property
    def digest(self) -> str:
        """A hash of the content: the same key with another content is an error."""
        return hashlib.sha256(self.content).hexdigest()


async def run_once(
    claims: ClaimStore,
    request: OnceRequest,
    run: Callable[[], Awaitable[StoredResponse | None]],
    replay: Callable[[StoredResponse], Awaitable[None]],
) -> None:
    """Claim the request's key, then ``run`` it; or ``replay`` the answer it had.

    Raises
    ======

    MulleinreachError
        What ``run`` raises; ``PLATFORM_UNAVAILABLE`` (not run) if no claim could
        be had; ``ALREADY_CLAIMED`` with the known outcome if the key was used.
    """
    key = claim_key(request.organisation, request.service, request.key)
    claim = await claims.claim(key, request.request_id, request.digest)
    if isinstance(claim, ClaimRefused):
        message = f"the request could not be claimed: {claim.reason}"
        raise MulleinreachError(
            Code.PLATFORM_UNAVAILABLE, message, retry_after_s=REFUSED_RETRY_AFTER_S
        )
    if isinstance(claim, AlreadyClaimed):
        await _answer_known(request, claim, replay)
        return
    await _run_claimed(claims, claim, run)


async def _run_claimed(claims: ClaimStore, claim: Claim, run) -> None:
    try:
        answer = await run()
    except MulleinreachError as error:
        claims.record_outcome(claim, error.ran)
        raise
    except (Exception, asyncio.CancelledError):
        claims.record_outcome(claim, ExecutionStatus.UNKNOWN)
        raise
    claims.record_outcome(claim, ExecutionStatus.RAN, answer)


async def _answer_known(request: OnceRequest, known: AlreadyClaimed, replay) -> None:
    record = known.record
    if record.digest != request.digest:
        message = f"the key {request.key!r} was used for a request with another content"
        raise MulleinreachError(Code.KEY_REUSED, message)
    if record.answer is not None:
        await replay(record.answer)
        return
    ran = ExecutionStatus.RAN if record.state is ClaimState.RAN else ExecutionStatus.UNKNOWN
    message = f"the key {request.key!r} was used by request {record.request_id}: {record.state}"
    raise MulleinreachError(Code.ALREADY_CLAIMED, message, ran=ran)
