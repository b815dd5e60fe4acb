"""Runs the examples in the doc comments of the gateway, the origins and the adapter."""

import doctest
import importlib
import pkgutil
import unittest

import cassiaford.gateway
import cassiaford.origins
import cassiaford.platform

PACKAGES = (cassiaford.gateway, cassiaford.origins, cassiaford.platform)


def module_names():
    """Yield the names of all modules in the packages."""
    for package in PACKAGES:
        yield package.__name__
        for module in pkgutil.walk_packages(package.__path__, package.__name__ + "."):
            yield module.name


class DocExampleTest(unittest.TestCase):
    def test_examples_hold(self):
        attempted = 0
        for name in module_names():
            results = doctest.testmod(importlib.import_module(name))
            self.assertEqual(results.failed, 0, name)
            attempted += results.attempted
        self.assertGreater(attempted, 30)
