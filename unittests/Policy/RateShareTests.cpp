//===-- RateShareTests.cpp - sharing a bounded request rate ---------------===//
//
// The sum of the shares over all entries, and the number of requests that owners send in any
// window.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Fleet/ServiceDirectory.h"
#include "laurelcroft/Policy/RateShare.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
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

TEST_CASE("the shares of a cold endpoint add up to its rate, for any number of entries")
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

TEST_CASE("all entries together stay within the bound at an endpoint that may be cold")
{
    // Guards against FAILBACK in a store outage: each share is whole, so no second gets more.
    for (const std::size_t count : {1, 2, 3, 21, 103}) {
        const std::vector<std::string> entries = namesOf(count);
        for (const double perSecond : {1.0, 4.0, 9.1, 18.0}) {
            CAPTURE(count);
            CAPTURE(perSecond);
            double sum = 0;
            for (const std::string &name : entries)
                sum += std::ceil(possiblyColdShareOf("p1", perSecond, entries, name));
            CHECK(sum >= std::floor(perSecond));
            // The users allow half as many more and five.
            CHECK(sum <= 1.5 * perSecond + 5);
        }
    }
}

TEST_CASE("while entries start, the sum of the shares exceeds the rate by few shares only")
{
    constexpr double perSecond = 18;
    const std::vector<std::string> before = namesOf(21);
    const std::vector<std::string> after = namesOf(24);
    for (int i = 0; i < 40; ++i) {
        const std::string endpoint = "p" + std::to_string(i);
        double sum = 0;
        // Worst case: new owners know of the new entries, old owners do not.
        for (const std::string &name : after) {
            const bool isOld = std::find(before.begin(), before.end(), name) != before.end();
            sum += coldShareOf(endpoint, perSecond, isOld ? before : after, name);
        }
        CHECK(sum <= 1.5 * perSecond);
    }
}

TEST_CASE("an unlisted entry has no share, nor has any entry if the rate is 0")
{
    CHECK(coldShareOf("p1", 18, namesOf(3), "other") == 0);
    CHECK(coldShareOf("p1", 18, {}, "e0") == 0);
    CHECK(coldShareOf("p1", 0, namesOf(3), "e0") == 0);
}

TEST_CASE("the shares of a rate limit add up to the limit, and there are spare owners")
{
    for (const std::size_t count : {1, 2, 3, 21, 103, 380}) {
        const std::vector<std::string> entries = namesOf(count);
        for (const double perSecond : {0.4, 1.5, 2.8, 18.0, 400.0}) {
            CAPTURE(count);
            CAPTURE(perSecond);
            double sum = 0;
            std::size_t owners = 0;
            for (const std::string &name : entries) {
                const double share = limitShareOf("p1", perSecond, entries, name);
                sum += share;
                owners += share > 0 ? 1 : 0;
            }
            CHECK(sum == doctest::Approx(perSecond));
            CHECK(owners >= std::min<std::size_t>(count, spareOwners));
        }
    }
    CHECK(limitShareOf("p1", 0, namesOf(3), "e0") == 0);
    CHECK(limitShareOf("p1", 1.5, {}, "e0") == 0);
}

TEST_CASE("owners that send as often as allowed keep to a rate limit in any time window")
{
    constexpr milliseconds step{5};
    constexpr seconds window{4};
    for (const std::size_t count : {1, 3, 12}) {
        const std::vector<std::string> entries = namesOf(count);
        for (const double perSecond : {0.4, 1.5, 2.8, 7.3}) {
            std::vector<service_endpoint> views(count, service_endpoint(endpoint_record{}));
            std::vector<time_point> sends;
            std::size_t most = 0;
            for (time_point now{seconds(100)}; now < time_point(seconds(160)); now += step) {
                for (std::size_t i = 0; i < count; ++i) {
                    const double share = limitShareOf("p1", perSecond, entries, entries[i]);
                    if (!views[i].hasRoomFor(share, now))
                        continue;
                    views[i].recordSend(now);
                    sends.push_back(now);
                }
                const auto first = std::find_if(sends.begin(), sends.end(),
                                                [&](time_point at) { return now - at < window; });
                most = std::max(most, static_cast<std::size_t>(sends.end() - first));
            }
            CAPTURE(count);
            CAPTURE(perSecond);
            CHECK(static_cast<double>(most) <= perSecond * (window.count() + 2) + spareOwners);
            CHECK(static_cast<double>(sends.size()) >= 0.9 * perSecond * 60);
        }
    }
}

TEST_CASE("entries without a share check a rate limit at different times, and rarely")
{
    const std::vector<std::string> entries = namesOf(100);
    std::vector<duration> delays;
    for (const std::string &name : entries)
        delays.push_back(limitCheckDelaysOf("p1", 2, entries.size(), name).sinceReport);
    std::sort(delays.begin(), delays.end());
    CHECK(delays.front() >= seconds(10));
    CHECK(delays.back() <= seconds(10) + seconds(200));
    // 100 entries at 0.5 checks per second: spread over 200 s, 2 s apart on average.
    for (std::size_t i = 0; i + 12 < delays.size(); ++i)
        CHECK(delays[i + 12] - delays[i] >= seconds(4));
}

TEST_CASE("the checks of all entries together use at most a quarter of a rate limit")
{
    constexpr seconds time{3000};
    for (const std::size_t count : {3, 12, 385}) {
        for (const double perSecond : {0.4, 1.5, 2.8}) {
            const std::vector<std::string> entries = namesOf(count);
            double checks = 0;
            for (const std::string &name : entries) {
                const limit_check_delays delays = limitCheckDelaysOf("p1", perSecond, count, name);
                // Assumes that each check is answered at once, with the same limit.
                duration at = delays.sinceReport;
                for (; at < time; at += std::max(delays.sinceReport, delays.sinceSend))
                    ++checks;
            }
            CAPTURE(count);
            CAPTURE(perSecond);
            CHECK(checks <= 0.25 * perSecond * time.count() + 3);
        }
    }
}
