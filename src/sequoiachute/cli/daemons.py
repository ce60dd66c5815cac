"""Commands that run the system's processes."""

from sequoiachute.cli.options import SettingsOption
from sequoiachute.settings import AgentSettings, EntrySettings, load_settings
from sequoiachute.status import ExitStatus


def entry(settings: SettingsOption) -> ExitStatus:
    """Run an entry instance until SIGTERM."""
    from sequoiachute.daemon import run_entry

    return run_entry(load_settings(settings, EntrySettings))


def agent(settings: SettingsOption) -> ExitStatus:
    """Run the agent beside a backend server until SIGTERM."""
    from sequoiachute.daemon import run_agent

    return run_agent(load_settings(settings, AgentSettings))
