"""Intents: the recorded state of calls with an idempotency key.

A shard holds the intents of many keys as one value in the key-value service.
All functions are pure: they take a shard and return the changed one.
"""

import enum

import msgspec
import xxhash

MAX_STORED_RESPONSE_BYTES = 4096


class IntentState(enum.StrEnum):
    """The progress of a call with an idempotency key."""

    CLAIMED = 'claimed'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'


class StoredResponse(msgspec.Struct, frozen=True):
    """A response that is replayed when its key is used again.

    :param body: empty if the response was too long to store
    """

    status: int
    content_type: str
    body: bytes
    receipt_id: str
    charge: float
    is_whole: bool = True


class Intent(msgspec.Struct, frozen=True):
    """A call with an idempotency key.

    :param key: account, service and the caller's key
    :param fingerprint: digest of method, path and body
    :param nonce: unique to the claim
    :param holder: incarnation of the instance that runs the call
    """

    key: str
    fingerprint: str
    nonce: str
    holder: str
    state: IntentState
    at_s: float
    answer: StoredResponse | None = None


class IntentShard(msgspec.Struct, frozen=True):
    """Intents that are stored as one value.

    :param write_id: unique to the write, so that reading the value back shows
        whether a write whose response was lost took effect
    """

    write_id: str = ''
    intents: dict[str, Intent] = {}


class Verdict(enum.Enum):
    """The decision on a claim."""

    RUN = 'run'
    REPLAY = 'repeat'
    IN_PROGRESS = 'in_progress'
    REUSED = 'reused'
    UNKNOWN = 'unknown'


class ClaimOutcome(msgspec.Struct, frozen=True):
    """The decision on a claim, the shard after it and the key's intent."""

    verdict: Verdict
    shard: IntentShard
    intent: Intent


def shard_index(key: str, count: int) -> int:
    """Return the number of the shard that a key belongs to."""
    return xxhash.xxh32_intdigest(key.encode()) % count


def claim(shard: IntentShard, requested: Intent) -> ClaimOutcome:
    """Claim a key.

    The claim is also granted if the shard already contains it, which happens
    when the response to the write was lost.
    """
    existing = shard.intents.get(requested.key)
    if existing is None:
        intents = {**shard.intents, requested.key: requested}
        changed = msgspec.structs.replace(shard, intents=intents)
        return ClaimOutcome(Verdict.RUN, changed, requested)
    if existing.nonce == requested.nonce:
        return ClaimOutcome(Verdict.RUN, shard, existing)
    return ClaimOutcome(_decide_claim(existing, requested), shard, existing)


def record_response(
    shard: IntentShard,
    key: str,
    nonce: str,
    response: StoredResponse,
) -> IntentShard:
    """Store the response of a claimed call."""
    existing = shard.intents.get(key)
    if existing is None or existing.nonce != nonce:
        return shard
    answered = msgspec.structs.replace(
        existing,
        state=IntentState.ANSWERED,
        answer=response,
    )
    return _replace_intent(shard, answered)


def mark_unknown(shard: IntentShard, key: str, nonce: str) -> IntentShard:
    """Record that a claimed call may or may not have been executed."""
    existing = shard.intents.get(key)
    if existing is None or existing.nonce != nonce:
        return shard
    if existing.state is IntentState.ANSWERED:
        return shard
    unknown = msgspec.structs.replace(existing, state=IntentState.UNKNOWN)
    return _replace_intent(shard, unknown)


def release(shard: IntentShard, key: str, nonce: str) -> IntentShard:
    """Remove a claim whose call was certainly not executed."""
    existing = shard.intents.get(key)
    if existing is None or existing.nonce != nonce:
        return shard
    if existing.state is not IntentState.CLAIMED:
        return shard
    intents = {
        name: each for name, each in shard.intents.items() if name != key
    }
    return msgspec.structs.replace(shard, intents=intents)


def expire(shard: IntentShard, before_s: float) -> IntentShard:
    """Remove intents older than a time, except those still claimed."""
    intents = {
        name: each
        for name, each in shard.intents.items()
        if each.at_s >= before_s or each.state is IntentState.CLAIMED
    }
    if len(intents) == len(shard.intents):
        return shard
    return msgspec.structs.replace(shard, intents=intents)


def _decide_claim(existing: Intent, requested: Intent) -> Verdict:
    """Decide a claim whose key has an intent of another claimant."""
    if existing.fingerprint != requested.fingerprint:
        return Verdict.REUSED
    if existing.state is IntentState.ANSWERED:
        return Verdict.REPLAY
    if existing.state is IntentState.UNKNOWN:
        return Verdict.UNKNOWN
    return Verdict.IN_PROGRESS


def _replace_intent(shard: IntentShard, intent: Intent) -> IntentShard:
    """Return the shard with one intent replaced."""
    return msgspec.structs.replace(
        shard,
        intents={**shard.intents, intent.key: intent},
    )
