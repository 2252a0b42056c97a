"""The part of reports and replies that concerns the rate limits of client accounts."""

import msgspec

from ...directory.records import ProxyReply, ProxyReport, RateReport
from ..board import SessionBoard


def build_rate_report(
    board: SessionBoard, now: float
) -> RateReport | msgspec.UnsetType:
    """Returns what a process reports, or ``UNSET`` if it limits no account."""
    limiter = board.account_limiter
    limiter.forget(board.view.table.accounts, now)
    if _limits_accounts(board) or limiter.has_report(now):
        return limiter.build_report(now)
    limiter.is_report_due = False
    return msgspec.UNSET


def apply_rate_reply(
    board: SessionBoard, report: ProxyReport, reply: ProxyReply, sent_at: float
) -> None:
    """Applies the shares of a reply.

    :param sent_at: when the report was sent, in seconds of the clock.
    """
    if isinstance(report.rates, RateReport) and reply.rates is not msgspec.UNSET:
        limiter = board.account_limiter
        limiter.apply_reply(reply.rates, report.rates, sent_at, board.clock.now())
    elif report.rates is msgspec.UNSET and _limits_accounts(board):
        # The reply brought the first table with limits.
        board.account_limiter.is_report_due = True


def _limits_accounts(board: SessionBoard) -> bool:
    accounts = board.view.table.accounts.values()
    has_limits = any(policy.rate_per_s is not None for policy in accounts)
    return has_limits and board.uses_any_targets()
