//===-- ColdShareTests.cpp - who may ask a cold endpoint --------------------===//
//
// The sum over all entries, at any number of them.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/ColdShare.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace laurelcroft;

static std::vector<std::string> namesOf(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back("e" + std::to_string(i));
    return names;
}

static double sumOf(std::string_view endpoint, double perSecond,
                    const std::vector<std::string> &entries)
{
    double sum = 0;
    for (const std::string &name : entries)
        sum += coldShareOf(endpoint, perSecond, entries, name);
    return sum;
}

TEST_CASE("entries together send a cold endpoint what it bears, at any number of them")
{
    for (const std::size_t count : {1, 2, 3, 21, 103, 380}) {
        const std::vector<std::string> entries = namesOf(count);
        for (const double perSecond : {0.5, 1.0, 2.5, 18.0, 400.0}) {
            CAPTURE(count);
            CAPTURE(perSecond);
            CHECK(sumOf("p1", perSecond, entries) == doctest::Approx(perSecond));
        }
    }
}

TEST_CASE("while entries start and end, the sum is above what the endpoint bears by few shares")
{
    constexpr double perSecond = 18;
    const std::vector<std::string> before = namesOf(21);
    const std::vector<std::string> after = namesOf(24);
    for (int i = 0; i < 40; ++i) {
        const std::string endpoint = "p" + std::to_string(i);
        double sum = 0;
        // The worst: each new owner knows of the new entries, each old one does not.
        for (const std::string &name : after) {
            const bool isOld = std::find(before.begin(), before.end(), name) != before.end();
            sum += coldShareOf(endpoint, perSecond, isOld ? before : after, name);
        }
        CHECK(sum <= 1.5 * perSecond);
    }
}

TEST_CASE(
        "an entry that nobody lists sends nothing to a cold endpoint, nor does one that bears none")
{
    CHECK(coldShareOf("p1", 18, namesOf(3), "other") == 0);
    CHECK(coldShareOf("p1", 18, {}, "e0") == 0);
    CHECK(coldShareOf("p1", 0, namesOf(3), "e0") == 0);
}
