//===-- QueueTimeTests.cpp - wait behind queued requests -------------------===//
//
// Expected wait behind the requests of one endpoint.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/QueueTime.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("a queue counts as mean requests, at the pace of the endpoint")
{
    mean_work work;
    work.readingMs.add(100);
    work.runMs.add(400);
    CHECK(queueTimeMs({3, 4, 0, 0}, work) == 0);
    CHECK(queueTimeMs({7, 4, 0, 0}, work) == doctest::Approx(400));
    CHECK(queueTimeMs({7, 64, 5, 120}, work) == doctest::Approx(500));
    CHECK(queueTimeMs({7, 64, 1, 900}, work) == doctest::Approx(900));
}
