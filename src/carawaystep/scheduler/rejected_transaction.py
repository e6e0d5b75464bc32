"""Log of transactions that the store does not accept."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from carawaystep.store.operation import PutRow

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.store.operation import Operation
    from carawaystep.store.table_failure import TableRejected


def log_rejected(
    log: DecisionLog,
    term: int,
    operations: Iterable[Operation],
    failure: TableRejected,
) -> None:
    """Log a transaction whose content the store does not accept.

    The line names the row with the largest value, which is the most likely
    cause.

    :param log: receives the line
    :param term: number of the leader's term
    :param operations: operations of the transaction
    :param failure: answer of the store
    """
    sizes = {
        f"{operation.table}/{operation.key}": len(
            msgspec.json.encode(operation.value)
        )
        for operation in operations
        if isinstance(operation, PutRow)
    }
    largest = max(sizes, key=sizes.__getitem__, default="")
    log.line(
        "commit.rejected",
        str(term),
        rows=len(sizes),
        size=sum(sizes.values()),
        largest=largest,
        largest_size=sizes.get(largest, 0),
        detail=failure.detail,
    )
