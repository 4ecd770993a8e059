"""Rendezvous hashing: which instance holds a role."""

from collections.abc import Iterable

import xxhash


def rank_instances(role: str, instances: Iterable[str]) -> list[str]:
    """Return instances in order of their score for a role, the holder first.

    When an instance fails, only the roles that it held move.

    :param role: name of the role, such as ``pool/assistant``
    :param instances: instance ids
    """
    return sorted(
        instances,
        key=lambda name: (_score(role, name), name),
    )


def _score(role: str, name: str) -> int:
    """Return the hash of a role and an instance; the lowest one holds it."""
    return xxhash.xxh64_intdigest(f'{role}|{name}'.encode())


def pick_instance(role: str, instances: Iterable[str]) -> str:
    """Return the instance that holds a role, empty if there is none."""
    return min(
        instances,
        key=lambda name: (_score(role, name), name),
        default='',
    )
