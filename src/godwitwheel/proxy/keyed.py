"""Writes that must not run twice: claim the key, run, record the outcome, answer."""

import secrets

import msgspec
import xxhash

from ..decisions.sessions import decode_token, merge_sessions
from ..internal.loop import sleep
from ..wire.caller import CallerAnswer, Outcome, Reason
from ..wire.codec import encode
from ..wire.control import (
    Claim,
    ClaimReply,
    ClaimStatus,
    RecordOutcome,
)
from .answers import not_run, unknown
from .claim_link import ClaimLink
from .context import ProxyContext
from .errors import ControlUnavailable
from .work import Work
from .writes import WriteExecutor

ATTEMPT_BYTES = 12
RECORD_TIMEOUT_S = 1.0
PENDING_POLL_S = 0.05
CLAIM_RETRY_AFTER_S = 0.5

CLAIM_REASONS = {
    ClaimStatus.mismatch: Reason.key_reused,
    ClaimStatus.expired: Reason.key_expired,
    ClaimStatus.full: Reason.claim_unavailable,
}


class KeyedWrites:
    """Runs the write of each key at most once, even if resends reach other proxies."""

    __slots__ = ("context", "claims", "writes")

    def __init__(self, context: ProxyContext, claims: ClaimLink, writes: WriteExecutor):
        self.context = context
        self.claims = claims
        self.writes = writes

    def run(self, work: Work) -> CallerAnswer:
        """Claims the key and runs the write, or returns the answer already recorded."""
        claim = Claim(
            work.service.name,
            work.key,
            xxhash.xxh3_128_hexdigest(encode(work.request)),
            secrets.token_hex(ATTEMPT_BYTES),
            work.service.key_retention_s,
        )
        try:
            reply = self._claim(claim, work)
        except ControlUnavailable as error:
            # The claim may be committed, but this attempt never uses it. An earlier
            # request with the same key may have run, so the answer isn't ``not_run``.
            self._record_in_background(claim, not_run(Reason.claim_unavailable))
            return unknown(Reason.claim_unavailable, str(error), CLAIM_RETRY_AFTER_S)
        if reply.status is ClaimStatus.recorded:
            return self._replay(reply.answer, work)
        if reply.status is ClaimStatus.pending:
            return unknown(Reason.already_claimed, "another sending is under way")
        if reply.status is not ClaimStatus.granted:
            return not_run(CLAIM_REASONS[reply.status], f"key {reply.status.value}")
        return self._run_granted(claim, work)

    def _claim(self, claim: Claim, work: Work) -> ClaimReply:
        clock = self.context.clock
        while True:
            reply = self.claims.claim(claim, work.deadline)
            if reply.status is not ClaimStatus.pending:
                return reply
            if work.remaining_s(clock.now()) <= PENDING_POLL_S:
                return reply
            sleep(PENDING_POLL_S)

    def _replay(self, answer: CallerAnswer, work: Work) -> CallerAnswer:
        """Returns the recorded answer and adds its write to the session."""
        token_key = self.context.blackboard.view.token_key
        recorded = decode_token(answer.session, token_key)
        if recorded:
            work.session = merge_sessions(work.session, recorded)
        return msgspec.structs.replace(answer, replayed=True, session="")

    def _run_granted(self, claim: Claim, work: Work) -> CallerAnswer:
        try:
            answer = self.writes.run(work)
        except BaseException:
            # If the write may have run when the task is killed, its outcome is
            # unknown and the claim stays pending.
            if not work.may_have_run:
                self._record_in_background(claim, not_run(Reason.draining))
            raise
        if answer.outcome is not Outcome.done:
            self._record_in_background(claim, answer)
            return answer
        return self._record(claim, answer, work)

    def _record(self, claim: Claim, answer: CallerAnswer, work: Work) -> CallerAnswer:
        """Records the outcome of a done write before the caller is answered.

        The write is durable by now, so the answer stays ``done`` even if the outcome
        can't be recorded in time; until it is, a resend is answered ``unknown``.
        """
        now = self.context.clock.now()
        deadline = min(work.deadline, now + RECORD_TIMEOUT_S)
        try:
            self.claims.record(self._outcome(claim, answer), deadline)
        except ControlUnavailable:
            self._record_in_background(claim, answer)
        return answer

    def _record_in_background(self, claim: Claim, answer: CallerAnswer) -> None:
        self.claims.record_in_background(self._outcome(claim, answer))

    def _outcome(self, claim: Claim, answer: CallerAnswer) -> RecordOutcome:
        return RecordOutcome(claim.service, claim.key, claim.attempt, answer)
