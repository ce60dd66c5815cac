"""Commands that run an entry instance or an agent."""

from sequoiachute.cli.options import SettingsOption
from sequoiachute.settings_checks import load_agent_settings, load_entry_settings
from sequoiachute.status import ExitStatus


def entry(settings: SettingsOption) -> ExitStatus:
    """Run an entry instance until SIGTERM."""
    from sequoiachute.daemon import run_entry

    return run_entry(load_entry_settings(settings))


def agent(settings: SettingsOption) -> ExitStatus:
    """Run the agent beside a backend server until SIGTERM."""
    from sequoiachute.daemon import run_agent

    return run_agent(load_agent_settings(settings))
