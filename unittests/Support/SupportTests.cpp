//===-- SupportTests.cpp - tests of the Support library ---------------------===//
//
// Covers the manual clock, settings, cryptography, channels, metrics, the circuit breaker, logging
// and compression.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Support/CircuitBreaker.h"
#include "laurelcroft/Support/Compression.h"
#include "laurelcroft/Support/Crypto.h"
#include "laurelcroft/Support/EventLoopThread.h"
#include "laurelcroft/Support/Log.h"
#include "laurelcroft/Support/LogLimiter.h"
#include "laurelcroft/Support/Metrics.h"
#include "laurelcroft/Support/Runtime.h"
#include "laurelcroft/Support/Settings.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <fcntl.h>
#include <future>
#include <iostream>
#include <thread>
#include <unistd.h>

using namespace laurelcroft;

TEST_CASE("manual_runtime runs timers in order and only when advanced")
{
    manual_runtime runtime;
    std::string order;
    runtime.after(milliseconds(20), [&] { order += "b"; });
    runtime.after(milliseconds(10), [&] { order += "a"; });
    const timer_id cancelled = runtime.after(milliseconds(15), [&] { order += "x"; });
    runtime.cancel(cancelled);
    CHECK(order.empty());
    runtime.advance(milliseconds(10));
    CHECK(order == "a");
    runtime.advance(milliseconds(10));
    CHECK(order == "ab");
    CHECK(runtime.pending() == 0);
}

static settings exampleSettings()
{
    settings declared("program", "does something");
    declared.addRequired("name", "a name");
    declared.addNumber("wait", 10, 1, 100, "ms", "a wait");
    declared.addFlag("loud", "noise");
    return declared;
}

TEST_CASE("a flag overrides an environment variable, which overrides the default")
{
    settings given = exampleSettings();
    CHECK(given.check({"--name", "n"}).empty());
    CHECK(given.number("wait") == 10);
    setenv("LAURELCROFT_WAIT", "20", 1);
    CHECK(given.check({"--name", "n"}).empty());
    CHECK(given.number("wait") == 20);
    CHECK(given.check({"--name", "n", "--wait", "30", "--loud"}).empty());
    CHECK(given.number("wait") == 30);
    CHECK(given.flag("loud"));
    unsetenv("LAURELCROFT_WAIT");
}

TEST_CASE("all invalid settings are reported at once, by name")
{
    settings given = exampleSettings();
    const auto errors = given.check({"--wait", "500"});
    REQUIRE(errors.size() == 2);
    CHECK(errors[0].find("--name") != std::string::npos);
    CHECK(errors[1] == "--wait: 500 is outside 1..100 ms");
    CHECK(given.check({"--name", "n", "--wait", "ten"}).size() == 1);
    CHECK(given.check({"--name", "n", "--unknown", "1"}).size() == 1);
    CHECK(given.check({"--name", "n", "word"}).size() == 1);
}

TEST_CASE("addresses and lists are split")
{
    std::string host;
    std::uint16_t port = 0;
    CHECK(splitAddress("10.0.0.1:80", host, port));
    CHECK(host == "10.0.0.1");
    CHECK(port == 80);
    CHECK_FALSE(splitAddress("10.0.0.1", host, port));
    CHECK_FALSE(splitAddress("a:70000", host, port));
    CHECK(splitList("a,,b", ',') == std::vector<std::string>{"a", "b"});
}

TEST_CASE("digests and signatures")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(toHex(hmacSha256("Jefe", "what do ya want for nothing?"))
          == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    const signing_key key = makeSigningKey();
    const auto signature = signEd25519(key.secretHex, "text");
    REQUIRE(signature);
    CHECK(verifyEd25519(key.publicHex, "text", *signature));
    CHECK_FALSE(verifyEd25519(key.publicHex, "other", *signature));
    CHECK_FALSE(verifyEd25519("00", "text", *signature));
    CHECK_FALSE(signEd25519("not hex", "text"));
}

TEST_CASE("text encodings round-trip and reject malformed input")
{
    const std::string bytes("\x00\xff\x10 z", 5);
    CHECK(fromHex(toHex(bytes)) == bytes);
    CHECK(fromBase64Url(toBase64Url(bytes)) == bytes);
    CHECK_FALSE(fromHex("abc"));
    CHECK_FALSE(fromBase64Url("a+b"));
}

TEST_CASE("a channel delivers all messages in order, even beyond its capacity")
{
    event_loop_thread producer("producer");
    event_loop_thread consumer("consumer");
    std::promise<std::vector<int>> result;
    std::vector<int> seen;
    constexpr int count = 1000;
    channel<int> ring(producer, consumer, 8, [&](int &&value) {
        seen.push_back(value);
        if (seen.size() == count)
            result.set_value(seen);
    });
    producer.start();
    consumer.start();
    producer.post([&] {
        for (int i = 0; i < count; ++i)
            ring.push(i);
    });
    const std::vector<int> all = result.get_future().get();
    for (int i = 0; i < count; ++i)
        CHECK(all[static_cast<std::size_t>(i)] == i);
    producer.stop();
    consumer.stop();
}

TEST_CASE("tryPush fails when the channel is full")
{
    event_loop_thread producer("producer");
    event_loop_thread consumer("consumer"); // never started
    channel<int> ring(producer, consumer, 2, [](int &&) {});
    CHECK(ring.tryPush(1));
    CHECK(ring.tryPush(2));
    CHECK_FALSE(ring.tryPush(3));
}

TEST_CASE("an estimated quantile is at most one bin too high")
{
    latency_histogram values;
    CHECK(values.quantile(0.5).count() == 0);
    for (int i = 1; i <= 1000; ++i)
        values.record(milliseconds(i));
    const double median = std::chrono::duration<double, std::milli>(values.quantile(0.5)).count();
    CHECK(median >= 500);
    CHECK(median <= 500 * 1.06);
}

TEST_CASE("metrics are exported in the Prometheus text format")
{
    metric_registry metrics;
    metrics.add("requests_total{code=\"200\"}", 2);
    metrics.set("in_flight", 3);
    metrics.record("wait_seconds", milliseconds(5));
    const std::string text = metrics.prometheusText();
    CHECK(text.find("laurelcroft_requests_total{code=\"200\"} 2\n") != std::string::npos);
    CHECK(text.find("laurelcroft_in_flight 3\n") != std::string::npos);
    CHECK(text.find("laurelcroft_wait_seconds_count 1\n") != std::string::npos);
}

TEST_CASE("a circuit breaker opens after failures, allows one trial call and doubles its wait")
{
    manual_runtime runtime;
    circuit_breaker item(2, seconds(1), seconds(8));
    item.recordFailure(runtime.now());
    CHECK(item.allows(runtime.now()));
    item.recordFailure(runtime.now());
    CHECK_FALSE(item.allows(runtime.now()));
    runtime.advance(seconds(1));
    CHECK(item.allows(runtime.now()));
    CHECK_FALSE(item.allows(runtime.now())); // only one trial call at a time
    item.recordFailure(runtime.now());
    CHECK(item.retryAfter(runtime.now()) == seconds(2));
    runtime.advance(seconds(2));
    CHECK(item.allows(runtime.now()));
    item.recordSuccess();
    CHECK_FALSE(item.isOpen());
}

TEST_CASE("log_limiter allows one second's worth of lines and counts the rest")
{
    log_limiter limiter(10);
    time_point now{seconds(100)};
    unsigned passed = 0;
    for (int i = 0; i < 25; ++i)
        passed += limiter.allows(now) ? 1 : 0;
    CHECK(passed == 10);
    CHECK(limiter.takeSuppressedCount() == 15);
    CHECK(limiter.takeSuppressedCount() == 0);
    now += milliseconds(500);
    passed = 0;
    for (int i = 0; i < 25; ++i)
        passed += limiter.allows(now) ? 1 : 0;
    CHECK(passed == 5);
}

TEST_CASE("a log reader that stops reading causes dropped lines but never blocks the writer")
{
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    std::cout.flush();
    const int before = dup(STDOUT_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    startLog("info", false);
    const std::string filler(200, 'x');
    constexpr int lines = 20000; // far more than the pipe and the queue can hold
    const auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < lines; ++i)
        logInfo(log_part::load, "line", {{"filler", filler}});
    const auto took = std::chrono::steady_clock::now() - began;
    const std::uint64_t lost = takeDroppedLines();
    // Resume reading, so that stopLog() can write the queued lines.
    std::thread reader([&] {
        char buffer[65536];
        ssize_t got = 1;
        while (got > 0)
            got = read(ends[0], buffer, sizeof(buffer));
    });
    stopLog();
    dup2(before, STDOUT_FILENO);
    close(ends[1]);
    reader.join();
    close(ends[0]);
    close(before);
    CHECK(lost > 0);
    CHECK(lost < lines);
    // A writer that blocks would never reach this point. The bound also limits the cost of
    // dropping.
    CHECK(took < std::chrono::seconds(20));
}

TEST_CASE("compression round-trips, and malformed or too long input is rejected")
{
    const std::string text(100000, 'a');
    const std::optional<std::string> bytes = zlibCompress(text);
    REQUIRE(bytes);
    CHECK(bytes->size() < 1000);
    CHECK(zlibDecompress(*bytes, text.size()) == text);
    CHECK(!zlibDecompress(*bytes, text.size() - 1));
    CHECK(!zlibDecompress("no such bytes", 1000));
    CHECK(!zlibDecompress("", 1000));
    CHECK(zlibDecompress(*zlibCompress(""), 10) == "");
}
