"""What the placer's parts read and write."""

from typing import NamedTuple

from sequoiachute.coordination.log import StreamFollower, StreamWriter
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.fleet import Fleet
from sequoiachute.state.jobs import JobTable
from sequoiachute.state.leases import LeaseTable
from sequoiachute.state.run_times import RunTimes


class PlacerState(NamedTuple):
    """The entry's state that placement reads."""

    configuration: Configuration
    jobs: JobTable
    fleet: Fleet
    leases: LeaseTable
    run_times: RunTimes


class PlacerStreams(NamedTuple):
    """The streams that placement follows and writes."""

    jobs: StreamWriter
    leases: StreamWriter
    jobs_follower: StreamFollower
    leases_follower: StreamFollower
