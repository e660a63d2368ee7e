#!/usr/bin/env python3
"""Runs the tests of one Python file. The last line is "N passed, N failed".

Usage: run-unittests.py FILE
"""
import os
import sys
import unittest


def main():
    folder, name = os.path.split(os.path.abspath(sys.argv[1]))
    sys.path.insert(0, folder)
    tests = unittest.defaultTestLoader.loadTestsFromName(os.path.splitext(name)[0])
    result = unittest.TextTestRunner().run(tests)
    bad = len(result.failures) + len(result.errors)
    print(f"{result.testsRun - bad} passed, {bad} failed")


if __name__ == "__main__":
    main()
