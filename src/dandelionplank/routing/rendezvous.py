"""Rendezvous hashing: which instance plays a role."""

from collections.abc import Iterable

import xxhash


def rank_instances(role: str, instances: Iterable[str]) -> list[str]:
    """Order instances by their claim to a role, the holder first.

    Losing an instance moves only the roles that it held.

    :param role: name of the role, such as ``pool/assistant``
    :param instances: instance ids
    """
    return sorted(
        instances,
        key=lambda name: (_score(role, name), name),
    )


def _score(role: str, name: str) -> int:
    """Return the rank of one instance's claim to a role."""
    return xxhash.xxh64_intdigest(f'{role}|{name}'.encode())


def pick_instance(role: str, instances: Iterable[str]) -> str:
    """Return the instance that holds a role, or nothing if there is none."""
    return min(
        instances,
        key=lambda name: (_score(role, name), name),
        default='',
    )
