"""Intents: what is known of calls that carry an idempotency key.

A shard holds the intents of many keys as one value in the key-value service.
All functions are pure: they take a shard and return the changed one.
"""

import enum

import msgspec
import xxhash

STORED_ANSWER_BYTES = 4096


class IntentState(enum.StrEnum):
    """How far a keyed call has come."""

    CLAIMED = 'claimed'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'


class StoredAnswer(msgspec.Struct, frozen=True):
    """An answer that is given again when its key is used again.

    :param body: empty if the answer was too long to keep
    """

    status: int
    content_type: str
    body: bytes
    receipt_id: str
    charge: float
    is_whole: bool = True


class Intent(msgspec.Struct, frozen=True):
    """A keyed call.

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
    answer: StoredAnswer | None = None


class IntentShard(msgspec.Struct, frozen=True):
    """Intents that are stored as one value.

    :param write_id: unique to the write, to settle a lost answer
    """

    write_id: str = ''
    intents: dict[str, Intent] = {}


class Verdict(enum.Enum):
    """What a claim meets."""

    RUN = 'run'
    REPEAT = 'repeat'
    IN_PROGRESS = 'in_progress'
    REUSED = 'reused'
    UNKNOWN = 'unknown'


class ClaimOutcome(msgspec.Struct, frozen=True):
    """The shard after a claim and what the claimant may do."""

    verdict: Verdict
    shard: IntentShard
    intent: Intent


def shard_of(key: str, count: int) -> int:
    """Return the shard that a key belongs to."""
    return xxhash.xxh32_intdigest(key.encode()) % count


def claim(shard: IntentShard, wanted: Intent) -> ClaimOutcome:
    """Claim a key.

    The claim is also granted if the same claim is found, which happens when
    the answer to the write was lost.
    """
    present = shard.intents.get(wanted.key)
    if present is None:
        intents = {**shard.intents, wanted.key: wanted}
        changed = msgspec.structs.replace(shard, intents=intents)
        return ClaimOutcome(Verdict.RUN, changed, wanted)
    if present.nonce == wanted.nonce:
        return ClaimOutcome(Verdict.RUN, shard, present)
    return ClaimOutcome(_verdict_on(present, wanted), shard, present)


def settle(
    shard: IntentShard,
    key: str,
    nonce: str,
    answer: StoredAnswer,
) -> IntentShard:
    """Store the answer of a claimed call."""
    present = shard.intents.get(key)
    if present is None or present.nonce != nonce:
        return shard
    settled = msgspec.structs.replace(
        present,
        state=IntentState.ANSWERED,
        answer=answer,
    )
    return _replace_intent(shard, settled)


def mark_unknown(shard: IntentShard, key: str, nonce: str) -> IntentShard:
    """Note that a claimed call may or may not have run."""
    present = shard.intents.get(key)
    if present is None or present.nonce != nonce:
        return shard
    if present.state is IntentState.ANSWERED:
        return shard
    unknown = msgspec.structs.replace(present, state=IntentState.UNKNOWN)
    return _replace_intent(shard, unknown)


def release(shard: IntentShard, key: str, nonce: str) -> IntentShard:
    """Give up a claim whose call certainly did not run."""
    present = shard.intents.get(key)
    if present is None or present.nonce != nonce:
        return shard
    if present.state is not IntentState.CLAIMED:
        return shard
    intents = {
        name: each for name, each in shard.intents.items() if name != key
    }
    return msgspec.structs.replace(shard, intents=intents)


def expire(shard: IntentShard, before_s: float) -> IntentShard:
    """Drop intents that are older than the retention time."""
    intents = {
        name: each
        for name, each in shard.intents.items()
        if each.at_s >= before_s or each.state is IntentState.CLAIMED
    }
    if len(intents) == len(shard.intents):
        return shard
    return msgspec.structs.replace(shard, intents=intents)


def _verdict_on(present: Intent, wanted: Intent) -> Verdict:
    """Judge a claim against an intent of another claimant."""
    if present.fingerprint != wanted.fingerprint:
        return Verdict.REUSED
    if present.state is IntentState.ANSWERED:
        return Verdict.REPEAT
    if present.state is IntentState.UNKNOWN:
        return Verdict.UNKNOWN
    return Verdict.IN_PROGRESS


def _replace_intent(shard: IntentShard, intent: Intent) -> IntentShard:
    """Return the shard with one intent replaced."""
    return msgspec.structs.replace(
        shard,
        intents={**shard.intents, intent.key: intent},
    )
