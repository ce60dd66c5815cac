from pathlib import Path

import pytest
import yaml

from sequoiachute.errors import SettingsError
from sequoiachute.settings import AgentSettings, EntrySettings
from sequoiachute.settings_checks import load_agent_settings, load_entry_settings
from sequoiachute.settings_file import describe_type

DOCS = Path(__file__).resolve().parent.parent / "docs"
SECRET = "very-secret-key-of-brocach"
ENTRY = {
    "entry_id": "entry-1",
    "region": "bavaria",
    "data_centre": "muc-1",
    "http_address": "127.0.0.1:8470",
    "rpc_address": "127.0.0.1:8471",
    "log_service": "http://127.0.0.1:8480",
    "keys": [{"key": SECRET, "role": "caller", "account": "brocach"}],
}
AGENT = {
    "worker_id": "worker-1",
    "region": "bavaria",
    "data_centre": "muc-1",
    "rack": "rack-1",
    "position": 0,
    "rpc_address": "127.0.0.1:8472",
    "backend_server": "http://127.0.0.1:8490",
    "entries": ["127.0.0.1:8471"],
    "accelerators": 8,
    "slots": 8,
    "connections": 64,
}
KEY = ENTRY["keys"][0]
SECOND_KEY = {**KEY, "key": "another-key-of-brocach"}
THIRD_KEY = {**KEY, "key": "one-more-key-of-brocach"}


def load_invalid(tmp_path, load, fields):
    path = tmp_path / "settings.yaml"
    text = fields if isinstance(fields, str) else yaml.safe_dump(fields)
    path.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load(str(path))
    assert str(caught.value).startswith(f"{path}: {caught.value.key}: ")
    assert caught.value.remedy
    assert SECRET not in str(caught.value)
    return caught.value


def test_valid_settings_are_loaded(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump({**ENTRY, "keys": [KEY, SECOND_KEY]}))
    assert len(load_entry_settings(str(path)).keys) == 2
    path.write_text(yaml.safe_dump(AGENT))
    assert load_agent_settings(str(path)).connections == 64


@pytest.mark.parametrize(
    ("key", "changes"),
    [
        ("entry", {"entry": "x"}),
        ("entry_id", {"entry_id": 7}),
        ("entry_id", {"entry_id": "a b"}),
        ("stop_seconds", {"stop_seconds": "30s"}),
        ("stop_seconds", {"stop_seconds": -1}),
        ("stop_seconds", {"stop_seconds": float("nan")}),
        ("freshness_seconds", {"freshness_seconds": 60}),
        ("http_address", {"http_address": "localhost:8470"}),
        ("http_address", {"http_address": "127.0.0.1:99999"}),
        ("http_address", {"http_address": "300.0.0.1:80"}),
        ("http_address", {"http_address": "10.0.0.1:8470"}),
        ("rpc_address", {"rpc_address": "127.0.0.1:8470"}),
        ("log_service", {"log_service": "http://127.0.0.1:8470"}),
        ("log_service", {"log_service": "platform:80"}),
        ("logging.level", {"logging": {"level": "LOUD"}}),
        ("logging", {"logging": "INFO"}),
        ("http.connections", {"http": {"connections": 0}}),
        ("keys", {"keys": SECRET}),
        ("keys[0]", {"keys": [SECRET]}),
        ("keys[0].key", {"keys": [{**KEY, "key": SECRET[:8]}]}),
        ("keys[0].key", {"keys": [{**KEY, "key": [SECRET]}]}),
        ("keys[0].role", {"keys": [{**KEY, "role": "root"}]}),
        ("keys[0].account", {"keys": [{"key": SECRET, "role": "caller"}]}),
        ("keys[1].key", {"keys": [KEY, KEY]}),
        ("keys[2]", {"keys": [KEY, SECOND_KEY, THIRD_KEY]}),
        ("placer_lease_seconds", {"placer_lease_seconds": 1}),
        ("leave_grace_seconds", {"stop_seconds": 1}),
        ("allow_plaintext", {"allow_plaintext": 1}),
    ],
)
def test_invalid_entry_settings_name_the_key(tmp_path, key, changes):
    error = load_invalid(tmp_path, load_entry_settings, {**ENTRY, **changes})
    assert error.key == key


@pytest.mark.parametrize(
    ("key", "changes"),
    [
        ("entries", {"entries": []}),
        ("entries", {"entries": "127.0.0.1:8471"}),
        ("entries[1]", {"entries": ["127.0.0.1:8471", "127.0.0.1:8471"]}),
        ("entries[0]", {"entries": ["127.0.0.1:8472"]}),
        ("entries[0]", {"entries": ["entry:8472"]}),
        ("backend_server", {"backend_server": "http://127.0.0.1:8472"}),
        ("rpc_address", {"rpc_address": "10.0.0.2:8472"}),
        ("announce_seconds", {"announce_seconds": 2}),
        ("connections", {"connections": 0}),
        ("accelerators", {"accelerators": 1.5}),
        ("speed", {"speed": 0}),
    ],
)
def test_invalid_agent_settings_name_the_key(tmp_path, key, changes):
    error = load_invalid(tmp_path, load_agent_settings, {**AGENT, **changes})
    assert error.key == key


def test_missing_key_is_named(tmp_path):
    fields = dict(ENTRY)
    del fields["region"]
    assert load_invalid(tmp_path, load_entry_settings, fields).key == "region"


@pytest.mark.parametrize(
    "text",
    [
        "",
        "- 1",
        "entry_id: [",
        f"keys: [{{key: {SECRET}, role: caller}}\nentry_id: x: {SECRET}",
        f"entry_id: {SECRET}: x",
        "entry_id: a\nentry_id: b",
        "1: a",
        "!!python/object/apply:os.getpid []",
    ],
)
def test_malformed_file_is_refused_without_quoting_it(tmp_path, text):
    assert load_invalid(tmp_path, load_entry_settings, text).key == "file"


def test_non_loopback_listener_requires_allow_plaintext(tmp_path):
    path = tmp_path / "settings.yaml"
    plaintext_entry = {
        **ENTRY,
        "http_address": "10.0.0.1:8470",
        "allow_plaintext": True,
    }
    path.write_text(yaml.safe_dump(plaintext_entry))
    assert load_entry_settings(str(path)).http_address == "10.0.0.1:8470"


def expected_rows(settings_type, prefix=""):
    """Yield (key, accepted values, default) of every key as in the reference."""
    hints = settings_type.__annotations__
    for name in settings_type._fields:
        hint = hints[name]
        nested = getattr(hint, "__args__", (hint,))[0]
        default = settings_type._field_defaults.get(name, "required")
        if hasattr(nested, "_fields"):
            suffix = "" if nested is hint else "[]"
            yield from expected_rows(nested, f"{prefix}{name}{suffix}.")
            continue
        text = str(default).lower() if isinstance(default, bool) else str(default)
        yield f"{prefix}{name}", describe_type(hint), text or "empty"


@pytest.mark.parametrize(
    ("section", "settings_type"), [("entry", EntrySettings), ("agent", AgentSettings)]
)
def test_reference_lists_every_key(section, settings_type):
    text = (DOCS / "reference" / "settings.md").read_text()
    section_text = text.partition(f"## {section}\n")[2].partition("\n## ")[0]
    rows = []
    for line in section_text.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if line.startswith("| `"):
            assert cells[3], f"{cells[0]} is not explained"
            rows.append((cells[0].strip("`"), cells[1], cells[2].strip("`")))
    assert rows == list(expected_rows(settings_type))
