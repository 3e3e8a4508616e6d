"""Checks a configuration before it is sent."""

from jujubeyard.advice import differences
from jujubeyard.advice import findings
from jujubeyard.advice import limits
from jujubeyard.advice import matching
from jujubeyard.routing import config


def check_configuration(
    configuration: config.Configuration,
    in_force: config.Configuration | None,
    deployment: limits.Deployment,
) -> list[findings.Finding]:
    """Returns all findings on a configuration, errors first.

    Args:
        configuration: The configuration as nodes read it.
        in_force: The one to compare it with; None to compare it with nothing.
        deployment: Where it will be in force.
    """
    found = [_describe_error(error) for error in configuration.errors]
    found += matching.find_unmatched(configuration)
    found += limits.find_contradictions(configuration, deployment)
    if in_force is not None:
        found += differences.find_differences(configuration, in_force)
    severities = list(findings.Severity)
    return sorted(found, key=lambda one: severities.index(one.severity))


def _describe_error(error: config.EntryError) -> findings.Finding:
    return findings.Finding(
        findings.FindingCode.UNREADABLE_ENTRY,
        error.kind,
        error.name,
        error.field,
        f"expected {error.expected}, found {error.found}",
    )
