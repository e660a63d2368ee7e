//===-- main.cpp - main of the process tests ----------------------------------===//
//
// Defines main() by means of doctest.
//
//===----------------------------------------------------------------------===//
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
