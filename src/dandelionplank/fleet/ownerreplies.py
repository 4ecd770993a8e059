"""How owners replied to this instance's tickets, for one log line a second.

Tells a silent owner from an instance that reads replies too late: of a silent
owner no reply arrives afterwards, and other owners are heard.
"""

from collections import Counter

# Owners named in a report: those with most unanswered tickets.
MAX_REPORTED_OWNERS = 8


class OwnerReplies:
    """Tickets of a period and what became of them.

    :param asked: tickets sent to owners
    :param unanswered: tickets given up without a reply, by owner
    :param late: replies that were read after their ticket was given up
    :param returned: grants that nobody waited for
    :param alone: requests that this instance decided without an owner
    """

    def __init__(self) -> None:
        """Begin the first period."""
        self.begin_period()

    def begin_period(self) -> None:
        """Forget the tickets of the last period."""
        self.asked = 0
        self.unanswered: Counter[str] = Counter()
        self.late = 0
        self.returned = 0
        self.alone = 0

    def take_report(self) -> dict[str, object]:
        """Return the fields of the log line and end the period.

        :return: none if all tickets were answered in time
        """
        is_quiet = not (self.unanswered or self.late or self.alone)
        fields: dict[str, object] = {
            'asked': self.asked,
            'unanswered': self.unanswered.total(),
            'silent_owners': len(self.unanswered),
            'most_silent': dict(
                self.unanswered.most_common(MAX_REPORTED_OWNERS)
            ),
            'late': self.late,
            'returned': self.returned,
            'alone': self.alone,
        }
        self.begin_period()
        return {} if is_quiet else fields
