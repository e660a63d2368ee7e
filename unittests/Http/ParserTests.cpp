//===-- ParserTests.cpp - HTTP messages and event streams -------------------===//
//
// The result must not depend on how the input is split into pieces.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Http/EventSplitter.h"
#include "laurelcroft/Http/Parser.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace laurelcroft;

namespace {

struct parsed
{
    std::vector<message_head> heads;
    std::string body;
    parse_state last = parse_state::open;
    std::size_t rest = 0;
};

parsed parseIn(message_parser::side side, const std::string &text, std::size_t piece)
{
    parsed result;
    message_parser parser(side,
                          {[&](message_head &&head) { result.heads.push_back(std::move(head)); },
                           [&](std::string_view data) { result.body += data; }},
                          4096);
    for (std::size_t at = 0; at < text.size(); at += piece) {
        const std::string_view part = std::string_view(text).substr(at, piece);
        std::size_t used = 0;
        result.last = parser.feed(part, used);
        if (result.last != parse_state::open) {
            result.rest = text.size() - at - used;
            return result;
        }
    }
    return result;
}

/// \returns header lines whose names hold a blank, a control byte or another byte that no token
/// has.
std::vector<std::string> namesThatAreNoTokens()
{
    std::vector<std::string> lines
            = {"X Foo: 1",  "X-Foo : 1", " X-Foo: 1",  "Content-Length : 5",
               ": 1",       "X\tFoo: 1", "X-Foo\t: 1", "X(Foo): 1",
               "X\"Foo: 1", "no colon",  "X\x7f: 1",   "Transfer-Encoding : chunked"};
    for (char control = 0; control < ' '; ++control) {
        if (control != '\r' && control != '\n')
            lines.push_back(std::string("X") + control + "Foo: 1");
    }
    lines.push_back("X\x80oo: 1");
    return lines;
}

} // namespace

TEST_CASE("a request is parsed identically however its bytes are split")
{
    const std::string text = "POST /a?b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        const parsed result = parseIn(message_parser::side::requests, text, piece);
        REQUIRE(result.heads.size() == 1);
        CHECK(result.heads[0].method == "POST");
        CHECK(result.heads[0].target == "/a?b");
        CHECK(findHeader(result.heads[0].headers, "host") == "x");
        CHECK(result.body == "abc");
        CHECK(result.last == parse_state::complete);
        CHECK(result.rest == 3);
    }
}

TEST_CASE("an interim response is skipped")
{
    const std::string text
            = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    const parsed result = parseIn(message_parser::side::answers, text, 7);
    REQUIRE(result.heads.size() == 1);
    CHECK(result.heads[0].status == 200);
    CHECK(result.body == "ab");
}

TEST_CASE("only a response without a length is delimited by the end of its connection")
{
    const auto ends = [](const std::string &text) {
        return parseIn(message_parser::side::answers, text, 512).heads.at(0).endsWithConnection;
    };
    CHECK(ends("HTTP/1.1 200 OK\r\n\r\nabc"));
    CHECK(!ends("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    CHECK(!ends("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
    CHECK(!ends("HTTP/1.1 204 No Content\r\n\r\n"));
}

TEST_CASE("a regular close completes a response without a length but no other")
{
    for (const std::string &head : {std::string(), std::string("Content-Length: 9\r\n")}) {
        message_parser parser(message_parser::side::answers, {}, 4096);
        std::size_t used = 0;
        parser.feed("HTTP/1.1 200 OK\r\n" + head + "\r\nabc", used);
        CHECK(parser.finish() == (head.empty() ? parse_state::complete : parse_state::failed));
    }
}

TEST_CASE("a head above the size limit fails to parse")
{
    const std::string text = "GET / HTTP/1.1\r\nX: " + std::string(5000, 'a') + "\r\n\r\n";
    CHECK(parseIn(message_parser::side::requests, text, 100).last == parse_state::failed);
}

TEST_CASE("a response whose status is out of range fails to parse at the end of its head")
{
    for (const std::string status : {"000", "001", "020", "099", "0", "20", "600", "999"}) {
        const std::string text = "HTTP/1.1 " + status + " S\r\nContent-Length: 2\r\n\r\n";
        for (std::size_t piece = 1; piece <= text.size(); ++piece) {
            const parsed result = parseIn(message_parser::side::answers, text, piece);
            CHECK_MESSAGE(result.last == parse_state::failed, status);
            CHECK_MESSAGE(result.heads.empty(), status);
        }
    }
}

TEST_CASE("a message with a field name that is not a token fails to parse")
{
    const auto lastOf = [](message_parser::side side, const std::string &start,
                           const std::string &line) {
        const std::string text = start + "Host: x\r\n" + line + "\r\nContent-Length: 0\r\n\r\n";
        parsed result = parseIn(side, text, 1);
        const bool same = parseIn(side, text, text.size()).last == result.last;
        CHECK_MESSAGE(same, line);
        return result.last;
    };
    using side = message_parser::side;
    const std::string request = "GET / HTTP/1.1\r\n";
    const std::string response = "HTTP/1.1 200 OK\r\n";
    for (const std::string &line : namesThatAreNoTokens()) {
        CHECK_MESSAGE(lastOf(side::requests, request, line) == parse_state::failed, line);
        CHECK_MESSAGE(lastOf(side::answers, response, line) == parse_state::failed, line);
    }
    for (const std::string line : {"X-Foo: a b", "X-Foo:a", "x!#$%&'*+-.^_`|~9: ", "X:\ta"}) {
        CHECK_MESSAGE(lastOf(side::requests, request, line) == parse_state::complete, line);
        CHECK_MESSAGE(lastOf(side::answers, response, line) == parse_state::complete, line);
    }
}

TEST_CASE("a response with a trailer whose name is not a token fails to parse")
{
    const std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "1\r\na\r\n0\r\nX Foo: 1\r\n\r\n";
    CHECK(parseIn(message_parser::side::answers, text, 1).last == parse_state::failed);
}

TEST_CASE("events are complete however the stream is split")
{
    const std::string text
            = "id: 4\ndata: a\n\nversion: 2\nid: 5\r\ndata: b\r\n\r\n: note\n\nid: 6\nda";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        event_splitter splitter;
        std::string joined;
        std::vector<std::uint64_t> ids;
        for (std::size_t at = 0; at < text.size(); at += piece) {
            splitter.feed(std::string_view(text).substr(at, piece), [&](const stream_event &event) {
                joined += event.text;
                if (event.id)
                    ids.push_back(*event.id);
            });
        }
        CHECK(joined == text.substr(0, text.size() - 8));
        CHECK(ids == std::vector<std::uint64_t>{4, 5});
        CHECK(!splitter.atBoundary());
    }
}
