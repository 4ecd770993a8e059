"""Owners, client accounts and their keys."""

import hashlib
import secrets

from dandelionplank.settings import Digest, Frozen, Name, Positive, PositiveInt

KEY_BYTES = 24


class CallerKey(Frozen, frozen=True):
    """A caller's key, kept as the digest of its secret.

    :param id: public name of the key
    :param digest: SHA-256 of the secret, hexadecimal
    :param expires_at_s: Unix time after which it is refused, zero for never
    """

    id: Name
    digest: Digest
    expires_at_s: float = 0


class ClientAccount(Frozen, frozen=True):
    """A client account: who owns it and what share it has.

    :param share: weight in the division of every service's capacity
    :param queue_limit: tickets that may wait in one pool
    """

    name: Name
    owner: Name
    share: Positive = 1.0
    keys: tuple[CallerKey, ...] = ()
    services: tuple[Name, ...] = ()
    queue_limit: PositiveInt = 1000
    suspended: bool = False

    def may_use(self, service: str) -> bool:
        """Tell whether the account may call a service; no list means all."""
        return not self.suspended and (
            not self.services or service in self.services
        )


class Owner(Frozen, frozen=True):
    """One of the firms that share the fleet and split the bill."""

    name: Name


class OperatorToken(Frozen, frozen=True):
    """A token for the administration API.

    :param role: ``reader``, ``operator`` or ``administrator``
    :param owner: firm whose accounts it may change, empty for every firm
    """

    name: Name
    digest: Digest
    role: str = 'reader'
    owner: str = ''


def digest_secret(secret: str) -> str:
    """Return the digest under which a secret is kept."""
    return hashlib.sha256(secret.encode()).hexdigest()


def new_secret() -> str:
    """Return a new random secret for a key or token."""
    return secrets.token_urlsafe(KEY_BYTES)
