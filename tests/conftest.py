import os
import warnings

os.environ.setdefault("EVENTLET_HUB", "asyncio")
warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")

import pytest  # noqa: E402
from hypothesis import HealthCheck, settings  # noqa: E402
from loguru import logger  # noqa: E402

for name, derandomize in (("ci", True), ("random", False)):
    settings.register_profile(
        name,
        derandomize=derandomize,
        deadline=None,
        database=None,
        suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
    )
settings.load_profile("ci")


@pytest.fixture
def paused_clock():
    from standins.paused import install_paused_clock

    install_paused_clock()


@pytest.fixture
def lines():
    """Messages of log lines with their fields."""
    found = []
    sink = logger.add(
        lambda message: found.append(
            (message.record["message"], message.record["extra"])
        )
    )
    yield found
    logger.remove(sink)
