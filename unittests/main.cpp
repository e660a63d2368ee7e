//===-- main.cpp - runs the tests of one component ----------------------------===//
//
// doctest's own main.
//
//===----------------------------------------------------------------------===//
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
