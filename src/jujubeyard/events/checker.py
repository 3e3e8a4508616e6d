"""Checks a merged history against what must always hold.

Runs at targets, as the targets themselves recorded them, are the ground truth.
Each check returns the broken promises with the events that show them.
"""

from jujubeyard.events import call_checks
from jujubeyard.events import findings
from jujubeyard.events import ownership_checks
from jujubeyard.events import target_checks
from jujubeyard.events import version_checks


def check(
    history: list[dict], rules: findings.ClusterInfo
) -> list[findings.Violation]:
    """Runs all checks.

    Args:
        history: Events of all processes, ordered by clock.
        rules: Facts about the cluster.
    """
    found = []
    for one in (
        ownership_checks.check_single_owner,
        ownership_checks.check_single_sender,
        ownership_checks.check_epochs,
        call_checks.check_answers,
        call_checks.check_not_run,
        call_checks.check_at_most_once,
        version_checks.check_versions,
        version_checks.check_in_force,
    ):
        found.extend(one(history))
    found.extend(target_checks.check_slots(history, rules))
    found.extend(target_checks.check_drains(history, rules))
    return found
