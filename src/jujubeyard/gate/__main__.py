"""Command line entry point of the gate."""

import sys

from jujubeyard.gate import core


def main() -> int:
    """Runs the gate and returns its exit status."""
    return int(core.main())


if __name__ == "__main__":
    sys.exit(main())
