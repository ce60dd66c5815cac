"""A site on the paused clock that records its calls and their runs."""

from base64 import b64encode
from uuid import uuid4

import eventlet
from result import Err, Ok

from sequoiachute import clock
from sequoiachute.coordination.router import CallerRequest
from sequoiachute.errors import RpcError
from soak.histories import Call, RequestRun
from standins.memory import MemoryBackend
from standins.site import Site, agent_address, create_catalogue, entry_address

ACCOUNT = "brocach"


def answer_to(body):
    """Return a backend server's answer, which differs from the body."""
    return b64encode(body)


class RecordingBackend(MemoryBackend):
    """Answers with ``answer_to``; ``lose_answers`` breaks off after each run."""

    def __init__(self):
        super().__init__()
        self.history = []
        self.lose_answers = False
        self.status = 200
        self.open = 0
        self.most_open = 0

    def execute(self, request_id, attempt_id, content_type, body, timeout):
        self.history.append(RequestRun(request_id, attempt_id, body))
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        outcome = super().execute(request_id, attempt_id, content_type, body, timeout)
        self.open -= 1
        if self.lose_answers:
            return Err(RpcError("backend", "connection broken", True))
        answer = outcome.unwrap()._replace(body=answer_to(body), status=self.status)
        return Ok(answer)


class RequestSite(Site):
    """Adds recorded calls, and crashes and faults of agents and entries."""

    def __init__(self, workers=2, entries=2, limits=None, **options):
        super().__init__(workers, entries, create_backend=RecordingBackend, **options)
        self.calls = []
        self._open_calls = {}
        account = {"owner": "Brocach", "job_class": "batch", "limits": limits or {}}
        self.publish(create_catalogue(brocach=account, milchschaum=account))
        self.run_for(3)

    @property
    def runs(self):
        return [run for backend in self.backends for run in backend.history]

    def call(self, entry=0, **fields):
        """Make a call and return it once it has ended."""
        return self.start_call(entry, **fields).wait()

    def start_call(
        self, entry=0, key="", body=b"", deadline=5.0, account=ACCOUNT, created=0.0
    ):
        """Start a call; without a key it is idempotent."""
        began = clock.now()
        request = CallerRequest(
            request_id=uuid4().hex,
            account=account,
            idempotent=not key,
            idempotency_key=key,
            content_type="text/plain",
            body=body or key.encode() or uuid4().hex.encode(),
            deadline=began + deadline,
            key_created_at=created,
        )
        call = Call(request.request_id, key, not key, request.body)
        router = self.entries[entry].router

        def serve():
            answer = router.serve(request)
            ended = call._replace(
                outcome=answer.outcome,
                answer=answer.body,
                status=answer.status,
                retry_after=answer.retry_after,
                seconds=clock.now() - began,
                reason=answer.reason,
            )
            self.calls.append(ended)
            return ended

        task = eventlet.spawn(serve)
        self._open_calls.setdefault(entry, []).append(task)
        return task

    def kill_callers(self, entry):
        """Kill every call in progress at an entry, as a crash of it does."""
        for task in self._open_calls.pop(entry, []):
            task.kill()

    def replace_entry(self, index):
        """Crash an entry and start it again."""
        self.kill_callers(index)
        self.entries[index] = self.start_entry(index)

    def replace_agent(self, index):
        """Crash an agent and start it again."""
        address = agent_address(index)
        self.network.remove(address)
        self.agents[index].leave(0)
        self.agents[index] = self.start_agent(index)

    def cut(self, entry, agent, both=True):
        """Cut the link from an entry to an agent, with ``both`` also the link back."""
        self.network.cut.add((entry_address(entry), agent_address(agent)))
        if both:
            self.network.cut.add((agent_address(agent), entry_address(entry)))

    def lose_replies(self, entry, agent):
        """Lose the agent's replies to an entry."""
        self.network.lose_replies.add((entry_address(entry), agent_address(agent)))

    def freeze(self, agent):
        """Pause an agent: nothing reaches it and it announces nothing."""
        self.network.frozen.add(agent_address(agent))
        for entry in range(len(self.entries)):
            pair = (agent_address(agent), entry_address(entry))
            self.network.cut.add(pair)

    def heal(self):
        """Undo every fault."""
        self.network.cut.clear()
        self.network.lose_replies.clear()
        self.network.frozen.clear()
        self.log.down = self.log.reads_fail = self.log.lose_replies = False
        for backend in self.backends:
            backend.lose_answers = False
            backend.status = 200
