"""A nose2 plugin that records the outcome of every test."""

from nose2.events import Plugin

PASSED = "passed"
SUBTEST = "subtest"


class OutcomePlugin(Plugin):
    """Collects which tests ran and which did not pass."""

    configSection = "outcomes"  # noqa: N815
    alwaysOn = True  # noqa: N815
    ran = set()
    failed = set()

    def testOutcome(self, event):  # noqa: N802
        """Record one outcome; a failed subtest fails its test."""
        name = event.test.id().split(" ")[0]
        self.ran.add(name)
        if not _passed(event):
            self.failed.add(name)


def _passed(event):
    # A passed subtest is reported with an outcome of its own and no exception.
    if event.outcome == SUBTEST:
        return event.exc_info is None
    return event.outcome == PASSED
