"""Runs the examples in the doc comments of the gateway and its adapter."""

import doctest
import importlib
import pkgutil
import unittest

import cassiaford.gateway
import cassiaford.platform

PACKAGES = (cassiaford.gateway, cassiaford.platform)


def module_names():
    """Return the names of all modules of the packages."""
    for package in PACKAGES:
        yield package.__name__
        for module in pkgutil.walk_packages(package.__path__, package.__name__ + "."):
            yield module.name


class DocExampleTest(unittest.TestCase):
    def test_examples_hold(self):
        ran = 0
        for name in module_names():
            results = doctest.testmod(importlib.import_module(name))
            self.assertEqual(results.failed, 0, name)
            ran += results.attempted
        self.assertGreater(ran, 30)
