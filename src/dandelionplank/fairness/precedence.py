"""Which accounts are served before others: pure state, no I/O."""

import dataclasses
from collections.abc import Mapping

# An account is behind another one if its service level is below this share of
# the other's. Half is guaranteed; levels follow late.
BEHIND_RANK = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class AccountPrecedence:
    """The accounts whose waiting requests yield to those of one account.

    :param level: service level of the account
    :param levels: service levels of all accounts
    """

    level: float
    levels: Mapping[str, float]

    @classmethod
    def from_levels(
        cls, account: str, levels: Mapping[str, float]
    ) -> 'AccountPrecedence':
        """Return the precedence of an account at the present levels."""
        return cls(levels.get(account, 0), levels)

    @property
    def is_behind(self) -> bool:
        """Whether the requests of some other account are served later."""
        return any(map(self.precedes, self.levels))

    def precedes(self, other: str) -> bool:
        """Return whether the requests of another account are served later."""
        return self.level < self.levels.get(other, 0) * BEHIND_RANK

    def yields_to(self, other: str) -> bool:
        """Return whether the requests of another account are served first."""
        return self.levels.get(other, 0) < self.level * BEHIND_RANK

    def yielding_tokens(self, queued: Mapping[str, float]) -> float:
        """Return the queued tokens that are served later.

        :param queued: queued tokens by account
        """
        return sum(
            tokens for other, tokens in queued.items() if self.precedes(other)
        )
