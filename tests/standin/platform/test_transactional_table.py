"""Tests of the table service of the stand-in platform."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.standin.platform.transactional_table import MAX_PAGE_ROWS
from carawaystep.standin.platform.transactional_table import TransactionalTable
from carawaystep.store.operation import CheckRow
from carawaystep.store.operation import DeleteRow
from carawaystep.store.operation import PutRow


def _put(key: str, expected: int | None = None, value: int = 1) -> PutRow:
    return PutRow("jobs", key, expected, value)


class TransactionalTableTest(TestCase):
    """Transactions, versions and reading of changes."""

    def setUp(self) -> None:
        """Create a table service."""
        super().setUp()
        self.table = TransactionalTable()

    def test_conflict_writes_nothing(self) -> None:
        """Guards against a partly applied transaction after a conflict."""
        self.table.transact([_put("a", 0)])
        lost = self.table.transact([_put("b", 0), _put("a", 0)])
        self.assertEqual({("jobs", "a"): 1}, lost.unwrap_err().versions)
        self.assertIsNone(self.table.get("jobs", "b"))
        self.assertEqual(1, self.table.revision)

    def test_failed_check_prevents_writes(self) -> None:
        """Guards against a former owner that still assigns jobs.

        It makes its writes depend on the version of its owner row.
        """
        self.table.transact([PutRow("owners", "w1", 0, 1)])
        self.table.transact([PutRow("owners", "w1", 1, 2)])
        late = self.table.transact([CheckRow("owners", "w1", 1), _put("a")])
        self.assertEqual({("owners", "w1"): 2}, late.unwrap_err().versions)
        self.assertIsNone(self.table.get("jobs", "a"))

    def test_versions_rise_across_a_delete(self) -> None:
        """Guards against an old version that matches a recreated row."""
        self.table.transact([_put("a", 0)])
        deleted = self.table.transact([DeleteRow("jobs", "a", 1)])
        self.assertEqual((2,), deleted.unwrap().versions)
        stale = self.table.transact([_put("a", 2)])
        self.assertEqual({("jobs", "a"): 0}, stale.unwrap_err().versions)
        again = self.table.transact([_put("a", 0)])
        self.assertEqual((3,), again.unwrap().versions)
        self.assertEqual(3, again.unwrap().revision)

    def test_cursor_misses_no_row_between_pages(self) -> None:
        """Guards against rows lost when a transaction spans two pages."""
        keys = [f"{number:04}" for number in range(2 * MAX_PAGE_ROWS + 50)]
        for start in range(0, len(keys), 100):
            self.table.transact([_put(k) for k in keys[start : start + 100]])
        seen: list[str] = []
        since, more = 0, True
        while more:
            page = self.table.changes("jobs", since)
            seen += [row.key for row in page.rows]
            self.assertLessEqual(len(page.rows), MAX_PAGE_ROWS)
            since, more = page.revision, page.more
        self.assertEqual(keys, seen)
        self.assertEqual((), self.table.changes("jobs", since).rows)

    def test_changes_include_deletions_and_filter_by_prefix(self) -> None:
        """Guards against a reader of changes that misses a deletion."""
        self.table.transact([_put("aa"), _put("ab"), _put("b")])
        self.table.transact([PutRow("other", "aa", 0, 1)])
        self.table.transact([DeleteRow("jobs", "aa", 1)])
        page = self.table.changes("jobs", 1, ("aa", "b"))
        found = [(row.key, row.value, row.version) for row in page.rows]
        self.assertEqual([("b", 1, 1), ("aa", None, 2)], found)
        self.assertEqual(5, page.revision)

    def test_rewritten_rows_are_listed_once(self) -> None:
        """Guards against a change log that grows with every write."""
        for number in range(5000):
            self.table.transact([_put("a", None, number + 1), _put("b")])
        rows = self.table.changes("jobs", 0).rows
        self.assertEqual(["a", "b"], [row.key for row in rows])
        self.assertEqual(5000, rows[0].version)
        self.assertLess(len(self.table._change_logs["jobs"]), 1010)
