"""Timeouts and lease durations, in seconds, that several processes must agree on."""

# A worker stops a task whose agent has not renewed it for this long.
TASK_LEASE_SECONDS = 5.0

# A member stops when the gang's first member has not answered for this long,
# and the first member stops the gang when a member has been silent for it.
GANG_LEASE_SECONDS = 4.0
GANG_HEARTBEAT_SECONDS = 1.0

# An agent stops its tasks when no entry has answered it for this long.
ENTRY_CONTACT_TIMEOUT_SECONDS = 15.0

# An unanswered call to a backend server may still take effect for this long.
BACKEND_CALL_SECONDS = 3.0

# A new agent grants nothing until the task leases of its predecessor have expired.
AGENT_STARTUP_HOLD_SECONDS = TASK_LEASE_SECONDS + 0.5

# An agent that has not reached any entry for this long no longer runs a task.
AGENT_LOST_SECONDS = (
    ENTRY_CONTACT_TIMEOUT_SECONDS + BACKEND_CALL_SECONDS + TASK_LEASE_SECONDS + 1.0
)

# Longest time for which only some members of a gang may run.
MAX_PARTIAL_GANG_SECONDS = TASK_LEASE_SECONDS + BACKEND_CALL_SECONDS
