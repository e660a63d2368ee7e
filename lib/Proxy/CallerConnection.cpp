//===-- CallerConnection.cpp - one connection of a caller -------------------===//
//
// Receives requests. A connection keeps reading while its request is answered, in order to detect
// that the caller disconnects. CallerSending.cpp sends the answers.
//
//===----------------------------------------------------------------------===//
#include "CallerConnection.h"

#include <asio/post.hpp>

using namespace laurelcroft;
using tcp = asio::ip::tcp;

namespace {

/// Limit on bytes received before the current answer has ended; beyond it reading stops.
constexpr std::size_t maxPipelinedBytes = 65536;
/// How long a connection that was shut down waits for the caller's own close. Closing a socket with
/// unread bytes resets the connection, and the caller could lose the answer.
constexpr milliseconds lingerTimeout{500};

constexpr int headersTooLarge = 431;
/// In seconds: about the time in which callers that read take a large answer.
constexpr const char *retryAfterWithoutMemory = "1";
constexpr int requestTimeout = 408;

} // namespace

caller_exchange::state::state(std::shared_ptr<caller_server::state> owner, tcp::socket accepted)
    : server(std::move(owner))
    , socket(std::move(accepted))
    , timer(server->context)
    , parser(message_parser::side::requests,
             {[this](message_head &&parsed) {
                  head = std::move(parsed);
                  wantsBody = head.method != "HEAD";
              },
              [this](std::string_view data) { onBody(data); }},
             server->bounds.maxHeaderBytes)
{
    server->connections.insert(this);
}

caller_exchange::state::~state()
{
    server->memory.clear(*this);
    server->connections.erase(this);
}

void caller_exchange::state::start()
{
    asio::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    armTimer(server->bounds.idleTimeout);
    read();
}

void caller_exchange::state::armTimer(milliseconds wait)
{
    timer.expires_after(wait);
    timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error && !self->closed)
            self->onTimer();
    });
}

void caller_exchange::state::onTimer()
{
    if (answering && !shuttingDown)
        return;
    if (!out.empty()) {
        onUnread();
        return;
    }
    if (shuttingDown) {
        close(false);
        return;
    }
    if (parser.hasBegun())
        refuse(requestTimeout);
    else
        close(false);
}

void caller_exchange::state::onUnread()
{
    if (hasProgressed())
        progressAt = bootNow();
    const duration unread = bootNow() - progressAt;
    if (unread < server->bounds.idleTimeout) {
        armTimer(std::chrono::ceil<milliseconds>(server->bounds.idleTimeout - unread));
        return;
    }
    ++server->counts.cutOffIdle;
    cutOffPeer();
}

void caller_exchange::state::read()
{
    if (reading || closed)
        return;
    reading = true;
    socket.async_read_some(
            asio::buffer(in),
            [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                self->reading = false;
                if (self->closed)
                    return;
                if (error) {
                    self->onPeerEnd();
                    return;
                }
                self->onBytes(std::string_view(self->in.data(), size));
                const bool handlesNext = !self->answering && !self->holdsNext;
                if (handlesNext || self->pending.size() < maxPipelinedBytes)
                    self->read();
            });
}

void caller_exchange::state::onBody(std::string_view data)
{
    bodyTooLarge = bodyTooLarge || body.size() + data.size() > server->bounds.maxBodyBytes;
    if (bodyTooLarge || refused)
        return;
    body.append(data);
    if (body.size() < held_memory::countedFrom)
        return;
    server->memory.set(*this, held_for::request, body.capacity());
    progressAt = bootNow();
    if (!server->memory.isPressed())
        return;
    if (server->urgencyOf)
        urgency = server->urgencyOf(head);
    refused = !server->memory.admits(urgency);
}

void caller_exchange::state::onBytes(std::string_view bytes)
{
    if (shuttingDown)
        return;
    if (answering || holdsNext) {
        pending.append(bytes);
        return;
    }
    const bool wasBegun = parser.hasBegun();
    std::size_t used = 0;
    const parse_state result = parser.feed(bytes, used);
    if (result == parse_state::failed) {
        refuse(parser.headTooLarge() ? headersTooLarge : http_status::badRequest);
        return;
    }
    if (bodyTooLarge) {
        refuse(http_status::tooLarge);
        return;
    }
    if (refused) {
        ++server->counts.refusedBodies;
        refuse(http_status::unavailable, {{"Retry-After", retryAfterWithoutMemory}});
        return;
    }
    if (result == parse_state::open) {
        if (!wasBegun && parser.hasBegun())
            armTimer(server->bounds.headerTimeout);
        return;
    }
    pending.append(bytes.substr(used));
    onRequest();
}

void caller_exchange::state::onRequest()
{
    answering = true;
    timer.cancel();
    closeAfter = !head.keepAlive;
    chunked = !head.isHttp10;
    std::string whole = std::move(body);
    body = {};
    server->handler(std::move(head), std::move(whole), caller_exchange(shared_from_this()));
}

void caller_exchange::state::onPeerEnd()
{
    const std::function<void()> left = std::exchange(onDisconnect, nullptr);
    close(false);
    if (left)
        left();
}

void caller_exchange::state::refuse(int status, const http_headers &headers)
{
    answering = true;
    closeAfter = true;
    body = {};
    caller_exchange(shared_from_this()).reply(status, headers, "");
}

void caller_exchange::state::answerEnded()
{
    onDisconnect = nullptr;
    onDrained = nullptr;
    server->memory.set(*this, held_for::answer, 0);
    server->memory.set(*this, held_for::request, 0);
    // When draining, close even if the head of the answer, sent earlier, did not announce it.
    if (closeAfter || server->draining) {
        shuttingDown = true;
        queueFlush();
        return;
    }
    queueFlush();
    answering = false;
    parser.reset();
    armTimer(server->bounds.idleTimeout);
    // A caller that reads no answers must not add further ones.
    if (out.size() > memory_budget::minShare) {
        holdsNext = true;
        drainMark = memory_budget::minShare;
        onDrained = [this] { readNext(); };
        return;
    }
    readNext();
}

void caller_exchange::state::readNext()
{
    holdsNext = false;
    if (pending.empty()) {
        read();
        return;
    }
    asio::post(server->context, [self = shared_from_this()] {
        if (self->closed || self->answering)
            return;
        const std::string next = std::exchange(self->pending, {});
        self->onBytes(next);
        if (!self->closed)
            self->read();
    });
}

void caller_exchange::state::shutdown()
{
    asio::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    armTimer(lingerTimeout);
    read();
}

void caller_exchange::state::close(bool reset)
{
    if (closed)
        return;
    closed = true;
    onDisconnect = nullptr;
    onDrained = nullptr;
    server->memory.clear(*this);
    out = {};
    asio::error_code ignored;
    if (reset)
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    timer.cancel();
    socket.close(ignored);
}
