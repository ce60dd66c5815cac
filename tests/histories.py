"""Checkers of recorded histories; each returns what it found wrong."""


def denied_but_applied(outcomes, applied):
    """Return records that took effect although their writer was told not.

    ``outcomes`` maps a record to the result that its writer got.
    """
    wrong = set()
    for record_id, outcome in outcomes.items():
        if outcome.is_ok() or outcome.unwrap_err().maybe_applied:
            continue
        if record_id in applied:
            wrong.add(record_id)
    return wrong


def confirmed_but_missing(outcomes, applied):
    """Return records that did not take effect although their writer was told so."""
    wrong = set()
    for record_id, outcome in outcomes.items():
        if outcome.is_ok() and record_id not in applied:
            wrong.add(record_id)
    return wrong


def lost_jobs(accepted, states):
    """Return accepted jobs that have no end: unknown or never finished."""
    return {job_id for job_id in accepted if states.get(job_id) != "finished"}


def reverted(views):
    """Return steps back in one process's views of the configuration, in order."""
    steps = []
    for before, after in zip(views, views[1:], strict=False):
        if after < before:
            steps.append((before, after))
    return steps


def split(views):
    """Return (offset, value) pairs that contradict each other.

    Two processes at the same offset must hold the same configuration.
    """
    known = {}
    wrong = []
    for offset, value in views:
        if known.setdefault(offset, value) != value:
            wrong.append((offset, value))
    return wrong
