"""Starts a gateway on the users' platform, from a checkout."""

from cassiaford.platform import main

main()
