"""Test runner plugin that records the outcome of every test."""

from nose2.events import Plugin

OUTCOMES = []


class OutcomeRecorder(Plugin):
    """Records the name and first outcome of every test that ran."""

    configSection = 'outcome-keeper'
    alwaysOn = True

    def testOutcome(self, event):  # noqa: N802
        """Record the outcome of a test, unless it already has one."""
        name = event.test.id().partition('\n')[0]
        if not any(name == recorded for recorded, _ in OUTCOMES):
            OUTCOMES.append((name, event.outcome))
