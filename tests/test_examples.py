from pathlib import Path

import pytest

from sequoiachute.cli.operator import read_catalogue
from sequoiachute.settings_checks import load_agent_settings, load_entry_settings
from standins.demo import CATALOGUE

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


@pytest.mark.parametrize(
    ("name", "load"),
    [
        ("entry.yaml", load_entry_settings),
        ("agent.yaml", load_agent_settings),
        ("catalogue.yaml", read_catalogue),
    ],
)
def test_example_is_valid(name, load):
    assert load(str(EXAMPLES / name))


def test_examples_are_consistent():
    entry = load_entry_settings(str(EXAMPLES / "entry.yaml"))
    agent = load_agent_settings(str(EXAMPLES / "agent.yaml"))
    catalogue = read_catalogue(str(EXAMPLES / "catalogue.yaml"))
    assert agent.entries == (entry.rpc_address,)
    assert {entry.data_centre, agent.data_centre} <= catalogue["data_centres"].keys()
    callers = {key.account for key in entry.keys if key.role == "caller"}
    assert callers == catalogue["accounts"].keys() == CATALOGUE["accounts"].keys()
