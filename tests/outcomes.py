"""Plugin of the test runner that keeps the outcome of every test."""

from nose2.events import Plugin

OUTCOMES = []


class OutcomeKeeper(Plugin):
    """Keeps name and outcome of every test that ran."""

    configSection = 'outcome-keeper'
    alwaysOn = True

    def testOutcome(self, event):  # noqa: N802
        """Note one outcome."""
        name = event.test.id().partition('\n')[0]
        if not any(name == known for known, _ in OUTCOMES):
            OUTCOMES.append((name, event.outcome))
