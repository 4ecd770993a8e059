"""What each account asked for and got, for one log line a second: no I/O."""

import dataclasses
from collections.abc import Iterable

# Accounts in a report: those furthest behind, and the one that got most.
MAX_REPORTED_ACCOUNTS = 8


@dataclasses.dataclass(slots=True)
class AccountDemand:
    """Requests of one account in a period, with costs in tokens.

    :param asked: cost of the requests that arrived
    :param began: cost of the requests that targets began to answer
    :param late: requests among them that had missed their objective
    :param refused: requests that ended without a response
    """

    account: str
    asked: float = 0
    began: float = 0
    late: int = 0
    refused: int = 0

    @property
    def missing(self) -> float:
        """Cost that was asked for and did not begin."""
        return self.asked - self.began

    @property
    def is_impaired(self) -> bool:
        """Whether a request was refused, or began late."""
        return bool(self.late or self.refused)

    def log_fields(self) -> dict[str, str | float]:
        """Return the fields of the log line."""
        return {
            'account': self.account,
            'asked': round(self.asked),
            'began': round(self.began),
            'late': self.late,
            'refused': self.refused,
        }


class DemandMeter:
    """Demand and service of the accounts at this instance."""

    def __init__(self) -> None:
        """Hold the accounts of the present period."""
        self.accounts: dict[str, AccountDemand] = {}

    def record_arrival(self, account: str, cost: float) -> None:
        """Record a request that is to be delivered."""
        self._account(account).asked += cost

    def record_begin(self, account: str, cost: float, *, is_late: bool) -> None:
        """Record that a target began to answer a request.

        :param is_late: the request has missed its objective
        """
        demand = self._account(account)
        demand.began += cost
        demand.late += is_late

    def record_refusal(self, account: str) -> None:
        """Record a request that ended without a response."""
        self._account(account).refused += 1

    def take_report(self) -> tuple[AccountDemand, ...]:
        """Return the accounts furthest behind and end the period.

        :return: those with late or refused requests, then the account that
            got most; none if all requests were served in time
        """
        accounts = tuple(self.accounts.values())
        self.accounts = {}
        impaired = [each for each in accounts if each.is_impaired]
        if not impaired:
            return ()
        impaired.sort(key=lambda each: -each.missing)
        best = max(accounts, key=lambda each: each.began)
        return _distinct((*impaired[: MAX_REPORTED_ACCOUNTS - 1], best))

    def _account(self, account: str) -> AccountDemand:
        """Return the record of an account in this period."""
        demand = self.accounts.get(account)
        if demand is None:
            demand = AccountDemand(account)
            self.accounts[account] = demand
        return demand


def _distinct(demands: Iterable[AccountDemand]) -> tuple[AccountDemand, ...]:
    """Return each account once, in the same order."""
    return tuple({each.account: each for each in demands}.values())
