//===-- Stream.cpp - message streams between processes ----------------------===//
//
// Message framing, the connection of the client and the acceptor of the server.
//
//===----------------------------------------------------------------------===//
#include "Session.h"

#include "laurelcroft/Support/Settings.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <set>

using namespace laurelcroft;

namespace {
constexpr std::size_t maxSessions = 4096;
} // namespace

link_stream::link_stream(std::weak_ptr<link_session> session, std::int32_t id, std::string path,
                         std::string peer)
    : m_session(std::move(session))
    , m_id(id)
    , m_path(std::move(path))
    , m_peer(std::move(peer))
{
}

static void appendLength(std::string &out, std::size_t size)
{
    for (int shift = 24; shift >= 0; shift -= 8)
        out += static_cast<char>((size >> shift) & 255);
}

static std::size_t readLength(std::string_view in)
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < linkFrameBytes; ++i)
        size = (size << 8) | static_cast<unsigned char>(in[i]);
    return size;
}

void link_stream::send(std::string_view message)
{
    if (m_closed || m_finished)
        return;
    appendLength(m_out, message.size());
    m_out += message;
    if (const auto session = m_session.lock())
        session->resumeData(*this);
}

void link_stream::finish()
{
    if (m_closed || m_finished)
        return;
    m_finished = true;
    if (const auto session = m_session.lock())
        session->resumeData(*this);
}

void link_stream::reset()
{
    if (m_closed)
        return;
    m_closed = true;
    setEvents({});
    if (const auto session = m_session.lock())
        session->resetStream(m_id);
}

void link_stream::consume(std::size_t bytes)
{
    const std::size_t given = std::min(bytes, m_unconsumed);
    m_unconsumed -= given;
    const auto session = m_session.lock();
    if (session && !m_closed && given > 0)
        session->consumeStream(m_id, given);
}

void link_stream::dropInput()
{
    m_dropping = true;
    m_in.clear();
    consume(m_unconsumed);
}

void link_stream::receive(std::string_view data)
{
    if (m_manualFlow)
        m_unconsumed += data.size();
    if (m_dropping) {
        consume(m_unconsumed);
        return;
    }
    // A handler may close the stream, drop its input or replace the handlers. The locals keep
    // the stream, the input and the called handlers alive meanwhile.
    const auto keep = shared_from_this();
    std::string input = std::move(m_in);
    m_in.clear();
    input += data;
    std::string_view rest = input;
    while (!m_closed && !m_dropping && rest.size() >= linkFrameBytes) {
        const std::size_t size = readLength(rest);
        if (size > maxLinkMessageBytes) {
            // No peer sends a message of this size, so the stream is corrupt and is reset.
            const auto handlers = m_events;
            reset();
            if (handlers->onClosed)
                handlers->onClosed(false);
            return;
        }
        if (rest.size() < linkFrameBytes + size)
            break;
        const std::string_view message = rest.substr(linkFrameBytes, size);
        rest.remove_prefix(linkFrameBytes + size);
        const auto handlers = m_events;
        if (handlers->onMessage)
            handlers->onMessage(message);
    }
    if (!m_dropping)
        m_in = rest;
}

void link_stream::end()
{
    if (m_peerEnded)
        return;
    m_peerEnded = true;
    const auto handlers = m_events;
    if (handlers->onEnd)
        handlers->onEnd();
}

void link_stream::drained()
{
    const auto handlers = m_events;
    if (!m_closed && handlers->onDrained)
        handlers->onDrained();
}

void link_stream::close(bool clean)
{
    if (m_closed)
        return;
    m_closed = true;
    const auto keep = shared_from_this();
    const auto handlers = m_events;
    setEvents({});
    if (handlers->onClosed)
        handlers->onClosed(clean);
}

struct link_client::state : std::enable_shared_from_this<link_client::state>
{
    state(asio::io_context &context, std::string address, link_identity identity)
        : context(context)
        , address(std::move(address))
        , identity(std::move(identity))
    {
    }
    asio::io_context &context;
    std::string address;
    link_identity identity;
    std::shared_ptr<link_session> session;

    void ensureSession();
};

void link_client::state::ensureSession()
{
    if (session && session->isOpen())
        return;
    std::string host;
    std::uint16_t port = 0;
    asio::error_code error;
    if (!splitAddress(address, host, port))
        error = asio::error::invalid_argument;
    const auto ip = asio::ip::make_address(host.empty() ? "0.0.0.0" : host, error);
    asio::ip::tcp::socket socket(context);
    // The connect is non-blocking, so it does not delay the caller. It takes about a millisecond
    // on the network of a data centre and next to no time on loopback.
    socket.open(asio::ip::tcp::v4(), error);
    socket.non_blocking(true, error);
    error.clear();
    socket.connect({ip, port}, error);
    if (error && error != asio::error::in_progress && error != asio::error::would_block) {
        session.reset();
        return;
    }
    session = std::make_shared<link_session>(std::move(socket), link_session::side::client,
                                             identity, nullptr);
    session->start();
}

link_client::link_client(asio::io_context &context, std::string address, link_identity identity)
    : m_state(std::make_shared<state>(context, std::move(address), std::move(identity)))
{
}

link_client::~link_client()
{
    if (m_state->session)
        m_state->session->shutDown();
}

std::shared_ptr<link_stream> link_client::open(std::string_view path, link_stream::events handlers)
{
    m_state->ensureSession();
    if (m_state->session)
        return m_state->session->open(path, std::move(handlers));
    return openWithoutPeer(m_state->context, path, std::move(handlers));
}

std::shared_ptr<link_stream> laurelcroft::openWithoutPeer(asio::io_context &context,
                                                          std::string_view path,
                                                          link_stream::events handlers)
{
    auto stream = std::make_shared<link_stream>(std::weak_ptr<link_session>(), -1,
                                                std::string(path), "");
    const auto onClosed = handlers.onClosed;
    stream->setEvents(std::move(handlers));
    asio::post(context, [stream, onClosed] {
        if (!stream->isOpen())
            return;
        stream->reset();
        if (onClosed)
            onClosed(false);
    });
    return stream;
}

const std::string &link_client::address() const
{
    return m_state->address;
}

struct link_server::state : std::enable_shared_from_this<link_server::state>
{
    state(asio::io_context &context, link_identity identity, handler onStream)
        : acceptor(context)
        , identity(std::move(identity))
        , onStream(std::move(onStream))
    {
    }
    asio::ip::tcp::acceptor acceptor;
    link_identity identity;
    handler onStream;
    std::set<std::weak_ptr<link_session>, std::owner_less<>> sessions;

    void accept();
    void add(asio::ip::tcp::socket socket);
};

void link_server::state::accept()
{
    acceptor.async_accept([self = shared_from_this()](const asio::error_code &error,
                                                      asio::ip::tcp::socket socket) {
        if (!self->acceptor.is_open())
            return;
        if (!error)
            self->add(std::move(socket));
        self->accept();
    });
}

void link_server::state::add(asio::ip::tcp::socket socket)
{
    for (auto it = sessions.begin(); it != sessions.end();)
        it = it->expired() ? sessions.erase(it) : std::next(it);
    if (sessions.size() >= maxSessions)
        return;
    auto session = std::make_shared<link_session>(std::move(socket), link_session::side::server,
                                                  identity, onStream);
    sessions.insert(session);
    session->start();
}

link_server::link_server(asio::io_context &context, link_identity identity, handler onStream)
    : m_state(std::make_shared<state>(context, std::move(identity), std::move(onStream)))
{
}

link_server::~link_server()
{
    close();
}

std::string link_server::listen(const std::string &host, std::uint16_t port)
{
    asio::error_code error;
    const auto ip = asio::ip::make_address(host, error);
    if (error)
        return "'" + host + "' is not an IP address";
    const asio::ip::tcp::endpoint localAddress(ip, port);
    m_state->acceptor.open(localAddress.protocol(), error);
    m_state->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    m_state->acceptor.bind(localAddress, error);
    if (!error)
        m_state->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return error.message();
    m_state->accept();
    return {};
}

std::uint16_t link_server::port() const
{
    return m_state->acceptor.local_endpoint().port();
}

void link_server::close()
{
    asio::error_code ignored;
    m_state->acceptor.close(ignored);
    for (const auto &weak : m_state->sessions) {
        if (const auto session = weak.lock())
            session->shutDown();
    }
    m_state->sessions.clear();
}
