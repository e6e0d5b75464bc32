"""Tests of the revisions from which tables are read."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.scheduler.feed_position import EveryChangePosition
from carawaystep.scheduler.feed_position import NewestRowsPosition
from carawaystep.store.row import Row
from carawaystep.store.table_changes import TableChanges


def _changes(*revisions: int, revision: int = 0) -> TableChanges:
    """Return versions of one row.

    :param revisions: revision of each version
    :param revision: revision of the read, that of the last version if 0
    """
    rows = tuple(Row("config", {}, number, number) for number in revisions)
    return TableChanges(rows, revision or revisions[-1], more=False)


class NewestRowsPositionTest(TestCase):
    """Choice between the change feed and reads of the whole table."""

    def setUp(self) -> None:
        """Read the table once at revision 10."""
        super().setUp()
        self.position = NewestRowsPosition()
        self.position.record_changes(_changes(5, revision=10), 0.0)

    def test_single_changes_are_read_from_the_feed(self) -> None:
        """Guards against transfers of rows that have not changed."""
        self.assertEqual(10, self.position.since)
        for second in (1, 2, 3):
            self.position.record_changes(_changes(10 + second), float(second))
            self.assertEqual(10 + second, self.position.since)
            self.assertEqual(0.0, self.position.pause_s(float(second)))

    def test_failed_read_is_not_repeated_from_the_same_revision(self) -> None:
        """Guards against a backlog that grows with each failed read."""
        self.position.record_failure()
        self.assertEqual(0, self.position.since)
        self.assertEqual(0.0, self.position.pause_s(5.0))
        self.position.record_changes(_changes(30, revision=33), 5.0)
        self.assertEqual(33, self.position.since)

    def test_quick_changes_are_read_at_an_interval(self) -> None:
        """Guards against reads of every version in a series of changes."""
        self.position.record_changes(_changes(11), 1.0)
        self.position.record_changes(_changes(12), 1.1)
        self.assertEqual(0, self.position.since)
        self.assertAlmostEqual(0.3, self.position.pause_s(1.1))
        self.assertAlmostEqual(0.1, self.position.pause_s(1.3))
        self.assertEqual(0.0, self.position.pause_s(2.0))
        self.position.record_changes(_changes(16, revision=17), 1.5)
        self.assertEqual(0, self.position.since)
        self.position.record_changes(_changes(16, revision=20), 1.9)
        self.assertEqual(20, self.position.since)
        self.assertEqual(0.0, self.position.pause_s(1.9))

    def test_replaced_versions_in_one_response(self) -> None:
        """Guards against a feed that lists more and more old versions."""
        self.position.record_changes(_changes(11, 12, 13), 5.0)
        self.assertEqual(0, self.position.since)

    def test_wait_without_a_change(self) -> None:
        """Guards against full reads while nothing changes."""
        self.position.record_changes(_changes(11), 1.0)
        empty = TableChanges((), 15, more=False)
        self.position.record_changes(empty, 1.1)
        self.assertEqual(15, self.position.since)

    def test_discarded_history(self) -> None:
        """Guards against a feed that stops when its history is gone."""
        self.position.restart()
        self.assertEqual(0, self.position.since)


class EveryChangePositionTest(TestCase):
    """Reads of tables of which no change may be missed."""

    def test_failed_read_is_repeated(self) -> None:
        """Guards against changes that are missed after a failure."""
        position = EveryChangePosition(7)
        position.record_failure()
        self.assertEqual(7, position.since)
        position.record_changes(_changes(8, 9), 1.0)
        self.assertEqual(9, position.since)
        position.restart()
        self.assertEqual(0, position.since)
