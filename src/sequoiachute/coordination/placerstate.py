"""State and log streams that the placer's components share."""

from typing import NamedTuple

from sequoiachute.coordination.log import StreamFollower, StreamWriter
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.fleet import Fleet
from sequoiachute.state.jobs import JobTable
from sequoiachute.state.leases import LeaseTable
from sequoiachute.state.run_times import RunTimes


class PlacerState(NamedTuple):
    """State of the entry that placement reads."""

    configuration: Configuration
    jobs: JobTable
    fleet: Fleet
    leases: LeaseTable
    run_times: RunTimes


class PlacerStreams(NamedTuple):
    """Log streams that placement follows and appends to."""

    jobs: StreamWriter
    leases: StreamWriter
    jobs_follower: StreamFollower
    leases_follower: StreamFollower
