"""Command-line entry point of a controller."""

import sys

from jujubeyard.controller import core


def main() -> int:
    """Runs the program and returns its exit status."""
    return int(core.main())


if __name__ == "__main__":
    sys.exit(main())
