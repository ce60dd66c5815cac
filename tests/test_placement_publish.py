"""Publishing guarantees that the announced workers can't all hold."""

from standins.demo import CATALOGUE
from tests.api import OPERATOR, Api


def test_guarantees_that_cannot_be_met_at_once_are_refused_and_nothing_changes():
    api = Api()
    api.site.run_for(12)
    before = api.entry.configuration.offset
    reply = api.call("PUT", "/v1/catalogue", OPERATOR, too_much())
    assert reply.status_code == 422
    assert reply.json["ran"] is False
    assert "milchschaum lacks 4000 accelerators within a rack" in reply.text
    assert "brocach lacks" not in reply.text
    assert api.entry.configuration.offset == before


def too_much():
    """Return the demo's catalogue with one guarantee that no rack holds."""
    accounts = {}
    for name, account in CATALOGUE["accounts"].items():
        accounts[name] = account
    shape = {"accelerators": 4000, "within": "rack"}
    accounts["milchschaum"] = {**accounts["milchschaum"], "guarantees": [shape]}
    return {**CATALOGUE, "accounts": accounts}
