import io
import subprocess
import sys
from pathlib import Path
from urllib.parse import urlsplit

import eventlet
import msgspec
import pytest
import typer
import yaml
from falcon import testing
from urllib3.exceptions import NewConnectionError, ProtocolError

from sequoiachute import __version__
from sequoiachute.cli import client
from sequoiachute.cli.app import create_cli
from sequoiachute.cli.difference import compare_catalogues
from sequoiachute.core import main
from sequoiachute.environment import Environment
from sequoiachute.status import ExitStatus
from standins.demo import CATALOGUE
from tests.api import OLD_KEY, OPERATOR, Api

DOCS = Path(__file__).resolve().parent.parent / "docs"


class Stream(io.StringIO):
    terminal = False

    def isatty(self):
        return self.terminal


class WsgiPool:
    """Replaces urllib3's pool, with injectable errors and refusals."""

    def __init__(self, app):
        self.app = app
        self.error = None
        self.problem = None

    def request(self, method, url, body, headers, timeout):
        if self.error is not None:
            raise self.error
        path = urlsplit(url).path
        reply = testing.simulate_request(
            self.app, method, path, headers=headers, body=body
        )
        headers, data = reply.headers, reply.content
        if self.problem is not None:
            headers = {"Content-Type": "application/problem+json"}
            data = msgspec.json.encode(self.problem)
        return type(
            "R", (), {"status": reply.status_code, "headers": headers, "data": data}
        )


class Terminal:
    """Runs command lines against the entry of a simulated site."""

    def __init__(self, monkeypatch):
        self.api = Api()
        self.api.publish()
        self.api.site.run_for(3)
        self.pool = WsgiPool(self.api.app)
        monkeypatch.setattr(client.urllib3, "PoolManager", lambda **_: self.pool)
        self.is_terminal = False
        self.out = self.err = ""

    def run(self, *arguments, key=OLD_KEY, variables=None):
        out, err = Stream(), Stream()
        err.terminal = self.is_terminal
        variables = variables or {}
        if key:
            arguments = (*arguments, "--key", key)
        status = main(arguments, Environment(Stream("input"), out, err, variables))
        self.out, self.err = out.getvalue(), err.getvalue()
        return status

    def json(self):
        return msgspec.json.decode(self.out)

    def submit(self, *options):
        assert self.run("submit", "engrave", "--json", *options) == ExitStatus.OK
        return self.json()["job_id"]


@pytest.fixture
def terminal(monkeypatch):
    return Terminal(monkeypatch)


@pytest.fixture
def catalogue_file(tmp_path):
    path = tmp_path / "catalogue.yaml"
    path.write_text(yaml.safe_dump(CATALOGUE))
    return path


def test_submit_sends_every_field_of_a_job(terminal):
    options = "--tasks 2 --accelerators 4 --within data_centre --run-seconds 7.5"
    options += " --speed-class standard --checkpointable"
    job_id = terminal.submit(*options.split())
    assert terminal.api.entry.jobs.get(job_id).spec == {
        "tasks": 2,
        "accelerators": 4,
        "within": "data_centre",
        "run_seconds": 7.5,
        "payload": "engrave",
        "speed_class": "standard",
        "checkpointable": True,
    }


def test_generated_idempotency_key_returns_the_same_job(terminal):
    job_id = terminal.submit()
    generated = terminal.err.removeprefix("idempotency key: ").strip()
    assert terminal.submit("--idempotency-key", generated) == job_id
    assert terminal.err == ""


def test_generated_key_is_printed_even_if_the_outcome_is_unknown(terminal):
    terminal.pool.error = ProtocolError("cut")
    assert terminal.run("submit", "engrave") == ExitStatus.UNKNOWN_OUTCOME
    assert terminal.err.startswith("idempotency key: ")


@pytest.mark.parametrize("is_terminal", [True, False])
def test_progress_is_shown_on_a_terminal_only(terminal, is_terminal):
    terminal.is_terminal = is_terminal
    options = ("--run-seconds", "2", "--idempotency-key", "wait-1")
    assert terminal.run("submit", "engrave", "--wait", *options) == ExitStatus.OK
    assert "finished" in terminal.out
    assert ("running" in terminal.err) is is_terminal


def test_wait_continues_while_no_entry_answers(terminal):
    job_id = terminal.submit("--run-seconds", "30")
    refused = NewConnectionError(None, "refused")
    eventlet.spawn_after(5, setattr, terminal.pool, "error", refused)
    eventlet.spawn_after(20, setattr, terminal.pool, "error", None)
    assert terminal.run("result", job_id, "--wait") == ExitStatus.OK


def test_cancelled_job_exits_with_job_failed(terminal):
    job_id = terminal.submit("--run-seconds", "600")
    assert terminal.run("result", job_id) == ExitStatus.REFUSED
    assert terminal.run("cancel", job_id) == ExitStatus.OK
    assert terminal.run("result", job_id, "--wait") == ExitStatus.JOB_FAILED
    assert terminal.run("status", "--json") == ExitStatus.OK
    assert [job["state"] for job in terminal.json()] == ["cancelled"]


def test_request_prints_the_answer_byte_for_byte(terminal, tmp_path):
    body = tmp_path / "body"
    body.write_text("a wand\n")
    assert terminal.run("request", f"@{body}", "--idempotent") == ExitStatus.OK
    assert (terminal.out, terminal.err) == ("a wand\n", "")
    assert terminal.run("request", "-", "--idempotent", "--json") == ExitStatus.OK
    assert terminal.json()["body"] == "input"


@pytest.mark.parametrize(
    ("arguments", "status"),
    [
        ((), ExitStatus.USAGE),
        (("nonsense",), ExitStatus.USAGE),
        (("submit",), ExitStatus.USAGE),
        (("submit", "x", "--tasks", "0"), ExitStatus.USAGE),
        (("submit", "x", "--within", "room"), ExitStatus.USAGE),
        (("submit", "x", "--run-seconds", "1e12"), ExitStatus.REFUSED),
        (("submit", "@/nonexistent"), ExitStatus.ERROR),
        (("request", "x", "--deadline-seconds", "0"), ExitStatus.USAGE),
        (("status", "no-such-job"), ExitStatus.REFUSED),
        (("status", "../catalogue"), ExitStatus.REFUSED),
        (("catalogue", "show"), ExitStatus.REFUSED),
    ],
)
def test_refusals_have_documented_statuses(terminal, arguments, status):
    assert terminal.run(*arguments) == status
    assert terminal.err
    assert OLD_KEY not in terminal.err


@pytest.mark.parametrize(
    ("arguments", "error", "status"),
    [
        (("status",), NewConnectionError(None, "refused"), ExitStatus.UNAVAILABLE),
        (("status",), ProtocolError("cut"), ExitStatus.UNAVAILABLE),
        (("cancel", "x"), ProtocolError("cut"), ExitStatus.UNKNOWN_OUTCOME),
        (("request", "x"), ProtocolError("cut"), ExitStatus.UNKNOWN_OUTCOME),
        (("status",), RuntimeError("secret"), ExitStatus.INTERNAL),
        (("status",), KeyboardInterrupt(), ExitStatus.INTERRUPTED),
    ],
)
def test_failures_have_documented_statuses(terminal, arguments, error, status):
    terminal.pool.error = error
    assert terminal.run(*arguments) == status
    assert "secret" not in terminal.err


@pytest.mark.parametrize(
    ("http_status", "ran", "status"),
    [
        (503, False, ExitStatus.UNAVAILABLE),
        (429, False, ExitStatus.UNAVAILABLE),
        (503, None, ExitStatus.UNKNOWN_OUTCOME),
        (409, False, ExitStatus.REFUSED),
    ],
)
def test_exit_status_follows_the_ran_field_of_a_problem(
    terminal, http_status, ran, status
):
    problem = {"title": "no", "status": http_status, "remedy": "wait", "ran": ran}
    terminal.pool.problem = problem
    assert terminal.run("request", "x", "--idempotent") == status


def test_traceback_is_shown_on_request(terminal):
    terminal.pool.error = RuntimeError("detail")
    terminal.run("status", variables={"SEQUOIACHUTE_TRACEBACK": "1"})
    assert "RuntimeError: detail" in terminal.err


def test_catalogue_is_checked_compared_published_and_shown(terminal, catalogue_file):
    run = terminal.run
    file = str(catalogue_file)
    changed = yaml.safe_load(catalogue_file.read_text())
    changed["accounts"]["brocach"]["weight"] = 2.0
    del changed["accounts"]["milchschaum"]
    catalogue_file.write_text(yaml.safe_dump(changed))
    assert run("catalogue", "check", file, key="") == ExitStatus.OK
    assert run("catalogue", "diff", file, key=OPERATOR) == ExitStatus.OK
    lines = terminal.out.splitlines()
    assert lines[0] == "+ accounts.brocach.weight: 2.0"
    assert lines[1].startswith("- accounts.milchschaum: {")
    base = terminal.err.split()[-1]
    publish = ("catalogue", "publish", file, "--base", base)
    assert run(*publish, key=OPERATOR) == ExitStatus.OK
    assert run(*publish, key=OPERATOR) == ExitStatus.REFUSED
    assert run("catalogue", "show", key=OPERATOR) == ExitStatus.OK
    assert yaml.safe_load(terminal.out) == changed
    assert run("catalogue", "publish", file, "--json", key=OPERATOR) == ExitStatus.OK
    assert terminal.json()["offset"] > terminal.json()["base"]


def test_missing_file_is_named_in_the_error(terminal):
    for arguments in (("catalogue", "check"), ("settings", "check", "agent")):
        status = terminal.run(*arguments, "/nonexistent", key="")
        assert status == ExitStatus.INVALID_INPUT
        assert "/nonexistent" in terminal.err


def test_version_is_shown(terminal):
    assert terminal.run("--version", key="") == ExitStatus.OK
    assert terminal.out == f"sequoiachute {__version__}\n"


def test_bad_catalogue_is_refused_before_it_is_sent(terminal, catalogue_file):
    catalogue_file.write_text("classes: {}\naccounts: {}\n")
    file = str(catalogue_file)
    status = terminal.run("catalogue", "publish", file, key=OPERATOR)
    assert status == ExitStatus.INVALID_INPUT
    assert "data_centres" in terminal.err


def test_data_centre_is_drained_and_restored(terminal):
    assert terminal.run("drain", "muc-1", "--json", key=OPERATOR) == ExitStatus.OK
    assert terminal.json()["state"] == "out of service"
    assert terminal.api.entry.configuration.out_of_service == {"muc-1"}
    assert terminal.run("restore", "muc-1", key=OPERATOR) == ExitStatus.OK
    assert not terminal.api.entry.configuration.out_of_service
    assert terminal.run("drain", "muc-9", key=OPERATOR) == ExitStatus.REFUSED


def test_compare_catalogues_lists_each_difference():
    old = {"a": {"b": 1, "c": [1]}, "d": 2}
    new = {"a": {"b": 1, "c": [2]}, "e": 3}
    found = [(change.path, change.kind) for change in compare_catalogues(old, new)]
    assert found == [("a.c", "changed"), ("d", "removed"), ("e", "added")]
    assert compare_catalogues(old, old) == []


def test_program_and_daemons_import_neither_rich_nor_pydantic():
    program = (
        "import sys, sequoiachute.core, sequoiachute.daemon\n"
        "print([n for n in ('rich', 'pydantic', 'dns') if n in sys.modules])"
    )
    environment = {"EVENTLET_HUB": "asyncio", "EVENTLET_NO_GREENDNS": "yes"}
    found = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", program],
        env=environment,
        capture_output=True,
        text=True,
        check=True,
    )
    assert found.stdout == "[]\n"


def list_commands(cli, prefix=""):
    """Yield (name, options) of every command."""
    group = typer.main.get_command(cli) if isinstance(cli, typer.Typer) else cli
    for name, command in group.commands.items():
        if hasattr(command, "commands"):
            yield from list_commands(command, f"{prefix}{name} ")
            continue
        options = set()
        for parameter in command.params:
            options.update(o for o in parameter.opts if o.startswith("--"))
        yield f"{prefix}{name}", options - {"--help"}


def test_reference_lists_every_command_option_and_status():
    text = (DOCS / "reference" / "cli.md").read_text()
    for status in ExitStatus:
        assert f"| {status.value} | `{status.name}` |" in text
    for name, options in list_commands(create_cli()):
        assert f"### {name}\n" in text
        section = text.partition(f"### {name}\n")[2].partition("\n##")[0]
        for option in options:
            assert f"`{option}" in section, f"{option} of {name}"
