"""Lengths of the leases that several processes must agree on, in seconds."""

# A worker stops a task this long after its agent last renewed it.
TASK_LEASE_SECONDS = 5.0

# A member stops when the gang's first member has not answered for this long,
# and the first member stops the gang when a member has been silent for it.
GANG_LEASE_SECONDS = 4.0
GANG_HEARTBEAT_SECONDS = 1.0

# An agent stops its tasks when no entry has answered it for this long.
CONTACT_SECONDS = 15.0

# An unanswered call to a backend server may still take effect for this long.
BACKEND_CALL_SECONDS = 3.0

# A new agent grants nothing until the tasks of an earlier one have ended.
AGENT_STARTUP_HOLD_SECONDS = TASK_LEASE_SECONDS + 0.5

# An agent that no entry has heard for this long runs no task any more.
AGENT_LOST_SECONDS = CONTACT_SECONDS + BACKEND_CALL_SECONDS + TASK_LEASE_SECONDS + 1.0

# Longest time for which a part of a gang may run without the rest.
PARTLY_RUNNING_SECONDS = TASK_LEASE_SECONDS + BACKEND_CALL_SECONDS
