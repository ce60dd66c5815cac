"""Submits jobs to a control site in memory and waits for their ends."""

from io import BytesIO

from sequoiachute import clock
from sequoiachute.coordination.intake import ACCEPTED
from sequoiachute.protocol.workload import COMPLETE
from standins.control_site import QUEUE
from tests.run_checks import assert_no_duplicate_runs, assert_run_numbers_increase

TAKEOVER_SECONDS = 3.5  # the membership's time to live, one join and one claim


def complete(site, jobs, seconds):
    """Wait until all jobs are complete; check that no task ran twice."""
    until = clock.now() + seconds
    alive = [i for i, e in enumerate(site.entries) if not e.process.killed]
    while clock.now() < until:
        site.run_for(0.1)
        if all(site.state(job, alive[0]) == COMPLETE for job in jobs):
            break
    assert [site.state(job, alive[0]) for job in jobs] == [COMPLETE] * len(jobs)
    assert_no_duplicate_runs(site.history)
    assert_run_numbers_increase(site.history)


def accepted(site, *args, **kwargs):
    job, outcome = site.submit(*args, **kwargs)
    assert outcome.kind == ACCEPTED, outcome
    return job


def submission_environ(spec="", deadline_ms=3000):
    """Return the WSGI environment of a submission of one task."""
    body = f'{{"spec": "{spec}", "steps": [{{"count": 1, "cpu": 100, "est_ms": 500}}]}}'
    return {
        "REQUEST_METHOD": "POST",
        "HTTP_HOST": QUEUE.host,
        "PATH_INFO": f"{QUEUE.prefix}{'0' * 15}a",
        "HTTP_AUTHORIZATION": "Token key-1",
        "HTTP_X_DEADLINE_MS": str(deadline_ms),
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": BytesIO(body.encode()),
    }


def cut_links(site, index):
    """Cut an entry off from its peers, both ways."""
    address = site.entries[index].address
    for peer in {entry.address for entry in site.entries} - {address}:
        site.network.cut.update({(address, peer), (peer, address)})
