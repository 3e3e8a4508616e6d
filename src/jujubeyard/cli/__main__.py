"""Entry point of `python -m jujubeyard.cli`."""

import sys

from jujubeyard.cli import core


def main() -> int:
    """Runs the program and returns its exit status."""
    return int(core.main())


if __name__ == "__main__":
    sys.exit(main())
