"""Names kept while modules move to ``sequoiachute.coordination.placement``."""

from sequoiachute.coordination.placement import *  # noqa: F403
