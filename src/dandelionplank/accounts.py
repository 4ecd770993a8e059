"""Owners, client accounts, their keys and operator tokens."""

import hashlib
import secrets

from dandelionplank.settings import Digest, Frozen, Name, Positive, PositiveInt

SECRET_BYTES = 24


class CallerKey(Frozen, frozen=True):
    """A caller's API key, stored as the digest of its secret.

    :param id: public name of the key
    :param digest: SHA-256 of the secret, hexadecimal
    :param expires_at_s: Unix time at which it expires, zero for never
    """

    id: Name
    digest: Digest
    expires_at_s: float = 0


class ClientAccount(Frozen, frozen=True):
    """A client account with its owner, keys, share and limits.

    :param share: weight by which every service's capacity is divided
    :param queue_limit: maximum number of tickets waiting in one pool
    """

    name: Name
    owner: Name
    share: Positive = 1.0
    keys: tuple[CallerKey, ...] = ()
    services: tuple[Name, ...] = ()
    queue_limit: PositiveInt = 1000
    suspended: bool = False

    def may_use(self, service: str) -> bool:
        """Return whether the account may call a service.

        An empty list of services allows all of them.
        """
        return not self.suspended and (
            not self.services or service in self.services
        )


class Owner(Frozen, frozen=True):
    """A company that owns client accounts and shares the fleet's cost."""

    name: Name


class OperatorToken(Frozen, frozen=True):
    """A token for the administration API.

    :param role: ``reader``, ``operator`` or ``administrator``
    :param owner: company whose accounts it may change, empty for all
    """

    name: Name
    digest: Digest
    role: str = 'reader'
    owner: str = ''


def digest_secret(secret: str) -> str:
    """Return the digest that is stored in place of a secret."""
    return hashlib.sha256(secret.encode()).hexdigest()


def new_secret() -> str:
    """Return a new random secret for a key or token."""
    return secrets.token_urlsafe(SECRET_BYTES)
