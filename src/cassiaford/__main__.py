"""Runs the command-line interface as ``python -m cassiaford``."""

from cassiaford.cli import main

if __name__ == "__main__":
    main()
