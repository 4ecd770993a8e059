"""Whether a configuration is the latest one: pure state, no I/O and no clock.

A store that was restored from an older copy lacks what was written since, until
it is written again. An instance that followed the store knows what it held. One
that starts, or that was cut off meanwhile, knows only the copy: it doubts its
configuration until something shows that no newer one was lost.
"""

import math
from typing import Annotated

import msgspec

# Era of a store that was never restored.
FIRST_ERA = 1
# Time within which the operator writes again what a restored store lacks.
WRITTEN_AGAIN_S = 8.0
# Longest time for which the store may lack a configuration that another
# instance has.
BEHIND_LIMIT_S = 30.0
# Versions are sent to other instances.
MAX_NUMBER = 9_223_372_036_854_775_807


class ConfigurationRecord(msgspec.Struct, frozen=True):
    """Record in the store that a configuration was current in an era.

    A copy from an earlier era holds the record of that era, or none.

    :param version: version of the configuration, which the store may lack
    """

    era: Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class VersionEvidence:
    """Versions known from elsewhere, and the restorations of the store.

    Times are on the boot clock, in seconds.
    """

    def __init__(self) -> None:
        """Hold no evidence; a store that was never restored needs none."""
        self.newest: int | None = None
        self.behind_since_s = -math.inf
        self.era: int | None = None
        self.entered_s = -math.inf
        self.relied_s = -math.inf
        self.is_written = False
        self.doubt_until_s = -math.inf
        self.doubted_s = -math.inf
        # Age of the view when the store first failed since its confirmation.
        self.failed_age_s: float | None = None
        self.stored_version = 0
        self.record: ConfigurationRecord | None = None
        self.record_revision = 0

    def begin_listing(self) -> None:
        """Expect the record in the listing that begins."""
        self.record = None
        self.record_revision = 0

    def learn(self, version: int, now_s: float) -> bool:
        """Record a version in force elsewhere; return whether it is newer."""
        if self.newest is not None and version <= self.newest:
            return False
        self.newest = version
        self.behind_since_s = now_s
        return True

    def is_behind(self, version: int, now_s: float) -> bool:
        """Return whether a newer version is in force elsewhere."""
        if self.newest is None or version >= self.newest:
            return False
        return now_s - self.behind_since_s < BEHIND_LIMIT_S

    def enter_era(
        self, era: int, relied_s: float, now_s: float, *, is_followed: bool
    ) -> bool:
        """Record the era of a listing of the store.

        :param relied_s: time of the last confirmation before it
        :param is_followed: the store was followed until it was restored
        :return: whether a newer configuration than the listed one may be lost
        """
        if era == self.era:
            return False
        self.era = era
        self.entered_s = now_s
        self.relied_s = relied_s
        self.is_written = False
        self.doubt_until_s = -math.inf
        self.doubted_s = -math.inf
        if self.is_first_era or is_followed:
            return False
        self.doubt_until_s = now_s + WRITTEN_AGAIN_S
        return True

    def is_followed(self, age_s: float, limit_s: float) -> bool:
        """Return whether the view was current until the store went away.

        An instance that stood still or was cut off for a while may have missed
        what was written then, although the store was not away for long.

        :param age_s: present age of the view
        :param limit_s: age from which the view counts as outdated
        """
        if self.failed_age_s is not None:
            age_s = self.failed_age_s
        return self.era is not None and age_s < limit_s

    @property
    def is_first_era(self) -> bool:
        """Return whether the store was never restored, as far as known."""
        return self.era is None or self.era <= FIRST_ERA

    @property
    def is_doubt_open(self) -> bool:
        """Return whether there is a doubt, one that has lapsed included."""
        return self.doubt_until_s > -math.inf

    def is_doubtful(self, now_s: float) -> bool:
        """Return whether a newer configuration may have been lost."""
        return now_s < self.doubt_until_s

    def doubt(self, confirmed_s: float) -> None:
        """Hold a confirmation that counts once the doubt has ended."""
        self.doubted_s = max(self.doubted_s, confirmed_s)

    def record_failure(self, age_s: float) -> None:
        """Record that the store failed.

        :param age_s: time since the view was confirmed
        """
        if self.failed_age_s is None:
            self.failed_age_s = age_s

    def record_outage(self, silent_s: float) -> None:
        """Prolong the doubt, as nobody could write in an outage of the store.

        :param silent_s: time for which it did not respond
        """
        self.doubt_until_s += silent_s

    def end_doubt(self) -> float:
        """End the doubt and return the time of the last confirmation."""
        self.doubt_until_s = -math.inf
        return self.doubted_s

    def may_have_lost(self, now_s: float) -> bool:
        """Return whether a newer version elsewhere shows a loss.

        It may as well be one that the store has and that is on its way.
        """
        return (
            not self.is_first_era
            and not self.is_written
            and now_s - self.entered_s < WRITTEN_AGAIN_S
        )

    def is_recorded(self, version: int) -> bool:
        """Return whether a version is recorded to be current in this era."""
        known = self.record
        return (
            known is not None
            and known.era == self.era
            and known.version <= version
        )

    def due_record(self, version: int) -> ConfigurationRecord | None:
        """Return the record that the store lacks, if any.

        :param version: version of the configuration in force
        """
        if self.era is None or self.is_first_era:
            return None
        known = self.record
        if known is None or known.era != self.era:
            return ConfigurationRecord(self.era, version)
        if max(known.version, self.stored_version) >= version:
            return None
        return ConfigurationRecord(self.era, version)
