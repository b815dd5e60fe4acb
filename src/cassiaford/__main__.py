"""Runs the command line as ``python -m cassiaford``."""

from cassiaford.cli import main

if __name__ == "__main__":
    main()
