"""Groups records into appends that the store takes."""

from collections.abc import Iterable, Iterator

from sequoiachute.transport.store import Record, StoreLimits, record_bytes

MAX_RECORDS_PER_APPEND = 200


def in_batches(
    groups: Iterable[list[Record]], limits: StoreLimits
) -> Iterator[list[Record]]:
    """Yield the records of all groups in order, each batch for one append.

    A group stays in one batch if the store takes it at once.
    """

    def fits(count: int, total_bytes: int) -> bool:
        is_short = count <= MAX_RECORDS_PER_APPEND
        return is_short and total_bytes <= limits.call_bytes

    batch: list[Record] = []
    batch_bytes = 0
    for group in groups:
        group_bytes = sum(map(record_bytes, group))
        if batch and not fits(len(batch) + len(group), batch_bytes + group_bytes):
            yield batch
            batch, batch_bytes = [], 0
        for record in group:
            added_bytes = record_bytes(record)
            if batch and not fits(len(batch) + 1, batch_bytes + added_bytes):
                yield batch
                batch, batch_bytes = [], 0
            batch.append(record)
            batch_bytes += added_bytes
    if batch:
        yield batch
