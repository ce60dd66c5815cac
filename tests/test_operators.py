import eventlet
import pytest

from standins.demo import CATALOGUE
from tests.api import OPERATOR, Api

DRAIN = "/v1/data-centres/muc-1/drain"
RESTORE = "/v1/data-centres/muc-1/restore"


@pytest.fixture
def api():
    running_api = Api()
    running_api.call("PUT", "/v1/catalogue", OPERATOR, CATALOGUE)
    running_api.site.run_for(3)
    return running_api


def out_of_service(api):
    return api.call("GET", "/v1/catalogue", OPERATOR).json["out_of_service"]


def test_switch_with_lost_append_reply_takes_effect(api):
    api.site.log.lose_replies = True
    assert api.call("POST", DRAIN, OPERATOR).status_code == 200
    assert out_of_service(api) == ["muc-1"]


def test_late_append_never_takes_effect(api):
    api.site.log.late_seconds = 30.0
    eventlet.spawn_after(0.5, setattr, api.site.log, "late_seconds", 0.0)
    reply = api.call("POST", DRAIN, OPERATOR)
    assert (reply.status_code, reply.json["ran"]) == (503, False)
    api.site.run_for(60)
    assert out_of_service(api) == []


def test_outcome_is_unknown_while_log_reads_fail(api):
    api.site.log.lose_replies = api.site.log.reads_fail = True
    reply = api.call("POST", DRAIN, OPERATOR)
    assert (reply.status_code, reply.json["ran"]) == (503, None)
    api.site.log.lose_replies = api.site.log.reads_fail = False
    api.site.run_for(20)
    assert out_of_service(api) == ["muc-1"]


def test_concurrent_switches_all_take_effect(api):
    replies = []
    for path in (DRAIN, RESTORE, DRAIN):
        eventlet.spawn(lambda p=path: replies.append(api.call("POST", p, OPERATOR)))
    api.site.run_for(3)
    assert [reply.status_code for reply in replies] == [200, 200, 200]
    offsets = [reply.json["offset"] for reply in replies]
    configuration = api.site.entries[0].configuration
    assert len(set(offsets)) == 3
    assert all(configuration.took_effect(offset) for offset in offsets)


def test_only_one_of_concurrent_catalogues_is_accepted(api):
    replies = []
    for _ in range(3):
        eventlet.spawn(
            lambda: replies.append(
                api.call("PUT", "/v1/catalogue", OPERATOR, CATALOGUE)
            )
        )
    api.site.run_for(3)
    assert sorted(reply.status_code for reply in replies) == [200, 409, 409]
