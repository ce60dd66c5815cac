"""A caller's time runs from when its request came in, not from when it is read."""

import subprocess
import sys

import eventlet
import pytest

from sequoiachute import clock
from sequoiachute.platform.jobs import JobsApp
from standins.control_site import ControlSite
from tests.control_checks import submission_environ

# Stands for an entry whose libraries load for LOAD seconds after it listens.
BACKLOG = """
import sys
import eventlet
eventlet.monkey_patch()
import socket, time
from sequoiachute import clock
from sequoiachute.coordination.intake import ACCEPTED, IntakeOutcome
from sequoiachute.platform.jobs import JobsApp
from sequoiachute.state.operations import (
    Operations, PlatformAccount, PlatformCatalogue, Queue
)
from sequoiachute.transport.listener import open_listener
from sequoiachute.transport.webserver import WebServer
load, left = float(sys.argv[1]), float(sys.argv[2])
deadlines = []
class Intake:
    def submit(self, job, deadline):
        deadlines.append(deadline)
        return IntakeOutcome(ACCEPTED)
class Control:
    operations = Operations()
    intake = Intake()
    def wait_can_serve(self, timeout):
        return True
queue = Queue("proofs", "site.example", "/p/", "render", 1, 3, 3.0, 1.0)
account = PlatformAccount("brocach", frozenset(("key-1",)), 8)
Control.operations.publish(PlatformCatalogue(1, (queue,), (account,)))
listener = open_listener("127.0.0.1", 0)
client = socket.create_connection(listener.getsockname())
body = b'{"spec": "", "steps": [{"count": 1, "cpu": 100, "est_ms": 500}]}'
client.sendall(
    b"POST /p/000000000000000a HTTP/1.1\\r\\nHost: site.example\\r\\n"
    b"Authorization: Token key-1\\r\\nX-Deadline-Ms: %d\\r\\n"
    b"Content-Length: %d\\r\\n\\r\\n" % (left * 1000, len(body)) + body
)
ends = clock.now() + left
time.sleep(load)
WebServer(JobsApp(Control()), "127.0.0.1", 0, listener=listener).start()
client.settimeout(5)
client.recv(100)
print(round(deadlines[0] - ends, 3) if deadlines else "refused")
"""


def test_time_in_the_backlog_of_an_entry_that_loads_is_the_callers():
    script = [sys.executable, "-W", "ignore", "-c", BACKLOG, "0.374", "0.343"]
    ended = subprocess.run(script, capture_output=True, text=True, timeout=20)
    assert ended.returncode == 0, ended.stderr
    too_late = ended.stdout.strip()
    assert too_late == "refused" or float(too_late) <= 0.05, too_late


@pytest.mark.usefixtures("paused_clock")
def test_time_in_which_an_entry_reads_its_state_is_the_callers():
    site = ControlSite()
    site.kill_entry(0)
    site.store.delay = 0.3  # so that it reads its state after 0.3 s
    site.restart_entry(0)
    environ = submission_environ("0.5", deadline_ms=200)
    statuses = []
    began = clock.now()

    def serve():
        JobsApp(site.entries[0].control)(environ, lambda s, _: statuses.append(s))
        statuses.append(clock.now() - began)

    task = eventlet.spawn(serve)
    site.run_for(0.25)
    site.store.delay = 0.004
    task.wait()
    site.run_for(4)
    # Its caller left after 0.2 s: nothing may be stored for it any more.
    assert not site.history.starts, statuses
    assert statuses[1] <= 0.2, statuses
