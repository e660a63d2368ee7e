//===-- Parser.cpp - incremental HTTP/1.1 parser ----------------------------===//
//
// The parser pauses at the end of each message, so that the caller keeps the bytes of
// the next message and any bytes that belong to no message. http_parser is built without its strict
// mode and accepts blanks in the names of fields, so names are checked here.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Http/Parser.h"

#include <http_parser.h>

#include <cstdint>
#include <limits>
#include <utility>

using namespace laurelcroft;

struct message_parser::state
{
    side which = side::requests;
    parser_events events;
    std::size_t maxHeaderBytes = 0;
    http_parser parser{};
    message_head head;
    std::size_t headBytes = 0;
    bool begun = false;
    bool complete = false;
    bool tooLarge = false;
    bool noBody = false;
    bool lastWasValue = true;
    const char *inputEnd = nullptr; ///< of the bytes that are being parsed
    bool valueContinues = false; ///< the last value reached the end of its input

    void reset();
    bool countHeadBytes(std::size_t bytes);

    static state &of(http_parser *parser) { return *static_cast<state *>(parser->data); }
    static int onBegin(http_parser *parser);
    static int onTarget(http_parser *parser, const char *data, std::size_t size);
    static int onField(http_parser *parser, const char *data, std::size_t size);
    static int onValue(http_parser *parser, const char *data, std::size_t size);
    static int onHeadEnd(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onEnd(http_parser *parser);
    static const http_parser_settings &callbacks();
};

void message_parser::state::reset()
{
    http_parser_init(&parser, which == side::requests ? HTTP_REQUEST : HTTP_RESPONSE);
    parser.data = this;
    head = {};
    headBytes = 0;
    begun = false;
    complete = false;
    tooLarge = false;
    lastWasValue = true;
}

bool message_parser::state::countHeadBytes(std::size_t bytes)
{
    headBytes += bytes;
    tooLarge = headBytes > maxHeaderBytes;
    return !tooLarge;
}

int message_parser::state::onBegin(http_parser *parser)
{
    of(parser).begun = true;
    return 0;
}

int message_parser::state::onTarget(http_parser *parser, const char *data, std::size_t size)
{
    state &self = of(parser);
    self.head.target.append(data, size);
    return self.countHeadBytes(size) ? 0 : 1;
}

int message_parser::state::onField(http_parser *parser, const char *data, std::size_t size)
{
    state &self = of(parser);
    if (!hasOnlyTokenBytes({data, size}))
        return 1;
    if (self.lastWasValue)
        self.head.headers.emplace_back();
    self.lastWasValue = false;
    self.head.headers.back().name.append(data, size);
    return self.countHeadBytes(size) ? 0 : 1;
}

int message_parser::state::onValue(http_parser *parser, const char *data, std::size_t size)
{
    state &self = of(parser);
    // A line that begins with a blank would be joined to the value before it, without the blank.
    const bool isFolded = std::exchange(self.lastWasValue, true) && !self.valueContinues;
    self.valueContinues = data + size == self.inputEnd;
    if (self.head.headers.empty() || isFolded)
        return 1;
    self.head.headers.back().value.append(data, size);
    return self.countHeadBytes(size) ? 0 : 1;
}

static std::optional<std::uint64_t> statedLength(const http_parser &parser)
{
    if (parser.content_length == std::numeric_limits<std::uint64_t>::max())
        return std::nullopt;
    return parser.content_length;
}

/// \returns true if the body of a response is delimited only by the end of the connection.
static bool endsWithConnection(const http_parser &parser)
{
    constexpr unsigned noContent = 204;
    constexpr unsigned notModified = 304;
    const unsigned status = parser.status_code;
    if (status < 200 || status == noContent || status == notModified)
        return false;
    const bool chunked = (parser.flags & F_CHUNKED) != 0;
    return !chunked && !statedLength(parser);
}

int message_parser::state::onHeadEnd(http_parser *parser)
{
    constexpr int skipBody = 1;
    constexpr int fail = -1;
    state &self = of(parser);
    message_head &head = self.head;
    if (self.which == side::requests)
        head.method = http_method_str(static_cast<http_method>(parser->method));
    else
        head.status = static_cast<int>(parser->status_code);
    if (self.which == side::answers) {
        if (!isValidStatus(head.status))
            return fail;
        head.bodyLength = statedLength(*parser);
    }
    head.keepAlive = http_should_keep_alive(parser) != 0;
    head.endsWithConnection
            = self.which == side::answers && !self.noBody && endsWithConnection(*parser);
    head.isHttp10 = parser->http_major == 1 && parser->http_minor == 0;
    if (!isInterim(head.status) && self.events.onHead)
        self.events.onHead(std::move(head));
    return self.noBody ? skipBody : 0;
}

int message_parser::state::onBody(http_parser *parser, const char *data, std::size_t size)
{
    state &self = of(parser);
    if (self.events.onBody)
        self.events.onBody(std::string_view(data, size));
    return 0;
}

int message_parser::state::onEnd(http_parser *parser)
{
    state &self = of(parser);
    if (self.which == side::answers && isInterim(static_cast<int>(parser->status_code))) {
        self.head = {};
        self.headBytes = 0;
        return 0;
    }
    self.complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings &message_parser::state::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings value;
        http_parser_settings_init(&value);
        value.on_message_begin = &state::onBegin;
        value.on_url = &state::onTarget;
        value.on_header_field = &state::onField;
        value.on_header_value = &state::onValue;
        value.on_headers_complete = &state::onHeadEnd;
        value.on_body = &state::onBody;
        value.on_message_complete = &state::onEnd;
        return value;
    }();
    return settings;
}

message_parser::message_parser(side which, parser_events events, std::size_t maxHeaderBytes)
    : m_state(std::make_unique<state>())
{
    m_state->which = which;
    m_state->events = std::move(events);
    m_state->maxHeaderBytes = maxHeaderBytes;
    m_state->reset();
}

message_parser::~message_parser() = default;

parse_state message_parser::feed(std::string_view bytes, std::size_t &used)
{
    m_state->inputEnd = bytes.data() + bytes.size();
    used = http_parser_execute(&m_state->parser, &state::callbacks(), bytes.data(), bytes.size());
    if (m_state->complete)
        return parse_state::complete;
    const bool upgraded = m_state->parser.upgrade != 0;
    if (upgraded || HTTP_PARSER_ERRNO(&m_state->parser) != HPE_OK)
        return parse_state::failed;
    return parse_state::open;
}

parse_state message_parser::finish()
{
    if (!m_state->begun)
        return parse_state::failed;
    http_parser_execute(&m_state->parser, &state::callbacks(), nullptr, 0);
    return m_state->complete ? parse_state::complete : parse_state::failed;
}

void message_parser::reset()
{
    m_state->reset();
}

void message_parser::expectNoBody()
{
    m_state->noBody = true;
}

bool message_parser::hasBegun() const
{
    return m_state->begun;
}

bool message_parser::headTooLarge() const
{
    return m_state->tooLarge;
}
