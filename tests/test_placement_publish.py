"""Publishing a catalogue whose guarantees the announced workers can't all meet."""

from standins.demo import CATALOGUE
from tests.api import OPERATOR, Api


def test_publishing_unmeetable_guarantees_is_refused_without_effect():
    api = Api()
    api.site.run_for(12)
    offset_before = api.entry.configuration.offset
    reply = api.call("PUT", "/v1/catalogue", OPERATOR, oversized_catalogue())
    assert reply.status_code == 422
    assert reply.json["ran"] is False
    assert "milchschaum lacks 4000 accelerators within a rack" in reply.text
    assert "brocach lacks" not in reply.text
    assert api.entry.configuration.offset == offset_before


def oversized_catalogue():
    """Return the demo catalogue with a guarantee larger than any rack."""
    accounts = {}
    for name, account in CATALOGUE["accounts"].items():
        accounts[name] = account
    shape = {"accelerators": 4000, "within": "rack"}
    accounts["milchschaum"] = {**accounts["milchschaum"], "guarantees": [shape]}
    return {**CATALOGUE, "accounts": accounts}
