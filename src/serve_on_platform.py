"""Starts a gateway on the users' platform from a source checkout."""

from cassiaford.platform import main

main()
