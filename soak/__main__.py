"""Runs the soak from the command line."""

import sys

from soak import core


def main() -> None:
    """Runs the soak and exits with its exit status."""
    sys.exit(int(core.main()))


if __name__ == "__main__":
    main()
