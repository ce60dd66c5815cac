"""Checks whether a catalogue's guarantees can all be met at once."""

from collections.abc import Iterable
from typing import NamedTuple

from sequoiachute.coordination.placement.allocations import AllocationTable
from sequoiachute.coordination.placement.bindings import GuaranteeBindings
from sequoiachute.coordination.placement.blocks import describe_shape
from sequoiachute.coordination.placement.model import Shortfall
from sequoiachute.protocol.catalogue import Catalogue
from sequoiachute.state.fleet import Worker


class GuaranteeCheck(NamedTuple):
    """The result of checking a catalogue's guarantees against the workers.

    Attributes
    ----------
    promised : int
        Accelerators that the catalogue guarantees in total.
    accelerators : int
        Accelerators that the workers have in total.
    shortfalls : tuple of Shortfall
        Shapes that do not fit beside the others.
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
        """A message that names the accounts and shapes that do not fit."""
        parts = []
        for shortfall in self.shortfalls:
            parts.append(f"{shortfall.account} lacks {describe_shape(shortfall.shape)}")
        return (
            f"guarantees of {self.promised} accelerators cannot all be met at once "
            f"by {self.accelerators} accelerators: {', '.join(parts)}"
        )


def check_guarantees(catalogue: Catalogue, workers: Iterable[Worker]) -> GuaranteeCheck:
    """Check whether ``workers``, if empty, can hold every guarantee.

    Parameters
    ----------
    catalogue : Catalogue
        The catalogue to be published.
    workers : iterable of Worker
        The whole fleet, including workers that are out of service.
    """
    empty_workers = [worker._replace(occupants=()) for worker in workers]
    allocations = AllocationTable()
    allocations.refresh(empty_workers, (), {})
    bindings = GuaranteeBindings()
    bindings.refresh(allocations, catalogue)
    promised = 0
    for guarantee in bindings.guarantees.values():
        promised += guarantee.shape["accelerators"]
    accelerators = sum(worker.accelerators for worker in empty_workers)
    return GuaranteeCheck(promised, accelerators, bindings.shortfalls)
