import pytest

from sequoiachute.errors import SettingsError
from sequoiachute.platform.settings import PATH_VARIABLE, read_settings
from sequoiachute.protocol.workload import WorkerTimes

SETTINGS_TOML = """
node = "edge-1"
role = "entry"
bind_ip = "10.1.0.19"
zone = "muc-1"
port_range = [7000, 7015]
seed_nodes = ["10.1.0.19:8526", "10.2.0.35:8526"]
new_field = "from a later version"
[listen]
front = "10.1.0.19:8521"
ready = "10.1.0.19:8523"
[platform]
address = "10.200.1.7:8524"
"""


def test_settings_ignore_unknown_fields(tmp_path, monkeypatch):
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS_TOML)
    monkeypatch.setenv(PATH_VARIABLE, str(path))
    settings = read_settings()
    assert settings.inner_address == "10.1.0.19:7000"
    assert settings.inner_seeds == ("10.1.0.19:7000", "10.2.0.35:7000")
    assert (settings.store, settings.worker) == ("10.200.1.7:8524", "")
    assert settings.worker_times == WorkerTimes()


def test_promises_of_workers_are_read_and_checked(tmp_path):
    path = tmp_path / "local.toml"
    bounds = "[bounds]\nhold_max_ms = 6000\nstop_ms = 200\nrestore_ms = 600\n"
    path.write_text(SETTINGS_TOML + bounds)
    assert read_settings(str(path)).worker_times == WorkerTimes(6.0, 0.2, 0.6)
    path.write_text(SETTINGS_TOML + bounds.replace("200", '"soon"'))
    with pytest.raises(SettingsError, match="is missing or invalid"):
        read_settings(str(path))


@pytest.mark.parametrize("key", ["node", "bind_ip", "port_range", "address"])
def test_missing_key_is_named_in_error(tmp_path, key):
    path = tmp_path / "local.toml"
    lines = [line for line in SETTINGS_TOML.splitlines() if not line.startswith(key)]
    path.write_text("\n".join(lines))
    with pytest.raises(SettingsError, match=key):
        read_settings(str(path))


def test_unreadable_file_is_named_in_error(tmp_path):
    with pytest.raises(SettingsError, match=PATH_VARIABLE):
        read_settings(str(tmp_path / "none.toml"))
    path = tmp_path / "broken.toml"
    path.write_text("node = ")
    with pytest.raises(SettingsError, match=r"broken\.toml"):
        read_settings(str(path))
