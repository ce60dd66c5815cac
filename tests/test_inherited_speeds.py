"""A new placer knows no more of a worker's speed than the last one did."""

from sequoiachute.coordination.dispatch.run_statistics import RunStatistics
from sequoiachute.protocol.supervision import RunReport
from sequoiachute.protocol.workload import Machine

WORKER = Machine("10.1.0.38", ())


def test_change_of_placer_does_not_make_a_speed_surer():
    statistics = RunStatistics({})
    for number, percent in enumerate(range(5, 95, 3)):
        run = RunReport("job.0.0.0", 1, "", percent)
        statistics.record_progress(run, WORKER, 27.9, 1.0, number * 0.5)
    successor = RunStatistics(statistics.speeds([WORKER], 20.0))
    error = statistics.speed_error(WORKER, 20.0)
    assert successor.speed_error(WORKER, 20.0) >= error
