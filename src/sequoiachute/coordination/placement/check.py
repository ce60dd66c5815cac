"""Whether a catalogue's guarantees can all be met at once."""

from collections.abc import Iterable
from typing import NamedTuple

from sequoiachute.coordination.placement.bindings import Bindings
from sequoiachute.coordination.placement.blocks import describe_shape
from sequoiachute.coordination.placement.board import Board
from sequoiachute.coordination.placement.model import Shortfall
from sequoiachute.protocol.catalogue import Catalogue
from sequoiachute.state.fleet import Worker


class GuaranteeCheck(NamedTuple):
    """What a catalogue promises against what the workers hold.

    ``shortfalls`` are the shapes left without a place when all others have
    theirs; none means that every guarantee can be met at once.
    """

    promised: int
    accelerators: int
    shortfalls: tuple[Shortfall, ...]

    @property
    def is_met(self) -> bool:
        """Whether every guarantee can be met at once."""
        return not self.shortfalls

    @property
    def reason(self) -> str:
        """What is missing, by client account."""
        parts = []
        for shortfall in self.shortfalls:
            parts.append(f"{shortfall.account} lacks {describe_shape(shortfall.shape)}")
        return (
            f"guarantees of {self.promised} accelerators cannot all be met at once "
            f"by {self.accelerators} accelerators: {', '.join(parts)}"
        )


def check_guarantees(catalogue: Catalogue, workers: Iterable[Worker]) -> GuaranteeCheck:
    """Return whether ``workers``, all of them empty, can hold every guarantee.

    Parameters
    ----------
    catalogue : Catalogue
        The catalogue to be published.
    workers : iterable of Worker
        The whole fleet, with the workers that are out of service.
    """
    empty = [worker._replace(occupants=()) for worker in workers]
    board = Board()
    board.refresh(empty, (), {})
    bindings = Bindings()
    bindings.refresh(board, catalogue)
    promised = 0
    for guarantee in bindings.guarantees.values():
        promised += guarantee.shape["accelerators"]
    accelerators = sum(worker.accelerators for worker in empty)
    return GuaranteeCheck(promised, accelerators, bindings.shortfalls)
