"""Command-line entry point of an entry."""

import sys

from jujubeyard.entry import core


def main() -> int:
    """Runs the program and returns its exit status."""
    return int(core.main())


if __name__ == "__main__":
    sys.exit(main())
