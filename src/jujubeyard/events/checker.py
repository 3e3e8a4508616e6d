"""Checks a merged history against the guarantees of the system.

The ground truth is the runs of calls as recorded by the targets themselves.
Each check returns the violations with the events that show them.
"""

from jujubeyard.events import call_checks
from jujubeyard.events import findings
from jujubeyard.events import ownership_checks
from jujubeyard.events import target_checks
from jujubeyard.events import version_checks


def check(
    history: list[dict], cluster: findings.ClusterInfo
) -> list[findings.Violation]:
    """Runs all checks.

    Args:
        history: Events of all processes, ordered by the hybrid clock.
        cluster: Facts about the cluster.

    Returns:
        The violations.
    """
    violations = []
    for check_history in (
        ownership_checks.check_single_owner,
        ownership_checks.check_single_sender,
        ownership_checks.check_assignment_epochs,
        call_checks.check_own_answers,
        call_checks.check_not_run_replies,
        call_checks.check_at_most_once,
        version_checks.check_versions_increase,
        version_checks.check_config_installed,
    ):
        violations.extend(check_history(history))
    violations.extend(target_checks.check_slots(history, cluster))
    violations.extend(target_checks.check_drains(history, cluster))
    return violations
